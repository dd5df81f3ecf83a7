import {expect} from 'chai';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {PrimaryView} from './primary-view.ts';
import {waitForExpectedPrimary} from './wait-for-expected-primary.ts';

const leased: PrimaryView = {kind: 'leased', instance: 'i-a', epoch: 3};
const fencing: PrimaryView = {kind: 'unavailable', reason: 'fencing', retryAfter: 200};
const evacuated: PrimaryView = {kind: 'unavailable', reason: 'evacuated', retryAfter: 200};
const zones: Readonly<Record<string, string>> = {'i-a': 'a', 'i-b': 'b'};

type Case = {
	readonly name: string;
	/** What is known of the primary at first, and after the wait for it. */
	readonly views: readonly [PrimaryView, PrimaryView];
	/** Zones in allowed regions; undefined if there is no restriction. */
	readonly allowed: readonly string[] | undefined;
	readonly expected: string;
	readonly hasWaited?: boolean;
	readonly hasRefused?: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'finds the primary without a restriction', views: [leased, leased], allowed: undefined, expected: 'leased',
	},
	{
		name: 'waits for a primary that is being replaced', views: [fencing, leased], allowed: undefined, expected: 'leased', hasWaited: true,
	},
	{
		name: 'finds a primary in an allowed region', views: [leased, leased], allowed: ['a'], expected: 'leased',
	},
	// After a promotion the primary may lie outside of the regions that a route allows.
	{
		name: 'refuses a primary outside of the allowed regions at once', views: [leased, leased], allowed: ['b'], expected: 'restricted', hasRefused: true,
	},
	{
		name: 'refuses a primary that turns out to be outside of the allowed regions', views: [fencing, leased], allowed: ['b'], expected: 'restricted', hasWaited: true, hasRefused: true,
	},
	{
		name: 'waits for no primary that nothing can replace outside of evacuated zones', views: [evacuated, leased], allowed: ['a'], expected: 'evacuated',
	},
	// A planned failover chooses its successor by its log, for all routes, so a route may lose its primary to another region.
	{
		name: 'refuses a primary that has left an evacuated zone for a region that is not allowed', views: [leased, leased], allowed: ['b'], expected: 'restricted', hasRefused: true,
	},
	{
		name: 'waits for no primary when all instances are outside of the allowed regions', views: [fencing, leased], allowed: ['c'], expected: 'restricted', hasRefused: true,
	},
];

describe('waitForExpectedPrimary', () => {
	for (const {
		name, views, allowed, expected, hasWaited = false, hasRefused = false,
	} of cases) {
		it(name, async () => {
			const seen = {hasWaited: false, hasRefused: false};
			const findInstance = (id: string) => ({listed: () => ({id, zone: zones[id]})}) as unknown as InstanceRuntime;
			const group = {
				primary: () => views[0],
				async waitForPrimary() {
					seen.hasWaited = true;
					return views[1];
				},
				findInstance,
				listInstances: () => Object.keys(zones).map(id => findInstance(id)),
			};
			const context = {
				now: () => ({steady: 0, wall: 0}),
				onRegionRefused() {
					seen.hasRefused = true;
				},
			};
			const view = await waitForExpectedPrimary({
				group,
				context,
				trace: {addStep: () => undefined, addSpan: () => undefined},
				findAllowedRegions: () => allowed && new Set(allowed),
				mayReachZone: (zone: string) => allowed === undefined || allowed.includes(zone),
			} as unknown as Parameters<typeof waitForExpectedPrimary>[0], 500);
			expect(view.kind === 'leased' ? view.kind : view.reason).to.equal(expected);
			expect(seen).to.deep.equal({hasWaited, hasRefused});
		});
	}
});
