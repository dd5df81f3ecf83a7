import {expect} from 'chai';
import {isHostAllowed} from './is-host-allowed.ts';
import {isZoneAllowed} from './is-zone-allowed.ts';

const regions = {byZone: new Map([['a', 'north'], ['b', 'north'], ['c', 'east'], ['d', 'south']])};
const unknown = {byZone: new Map<string, string>()};

describe('isZoneAllowed and isHostAllowed', () => {
	const cases = [
		{
			name: 'any zone, without a restriction', zone: 'd', allowed: undefined, regions, instance: true, host: true,
		},
		{
			name: 'a zone of an allowed region', zone: 'c', allowed: ['east'], regions, instance: true, host: true,
		},
		{
			name: 'a zone of this host\'s region, which is not allowed and which the caller may not be in', zone: 'b', allowed: ['east'], regions, instance: false, host: false,
		},
		{
			name: 'a zone of a third region', zone: 'd', allowed: ['east'], regions, instance: false, host: false,
		},
		{
			name: 'a zone of a known region, when no region is allowed', zone: 'a', allowed: [], regions, instance: false, host: false,
		},
		{
			name: 'a zone whose region is not known', zone: 'e', allowed: ['east'], regions, instance: false, host: false,
		},
		{
			name: 'a zone, when the settings name no regions', zone: 'a', allowed: ['north'], regions: unknown, instance: false, host: false,
		},
		{
			name: 'a zone without a restriction, when the settings name no regions', zone: 'a', allowed: undefined, regions: unknown, instance: true, host: true,
		},
	];
	for (const {name, zone, allowed: names, instance, host, ...rest} of cases) {
		it(`decides for ${name}`, () => {
			const options = {allowed: names && new Set(names), regions: rest.regions};
			expect({instance: isZoneAllowed(zone, options), host: isHostAllowed(zone, options)}).to.deep.equal({instance, host});
		});
	}

	it('sends nothing under a restriction to a host that is not registered', () => {
		expect(isHostAllowed(undefined, {allowed: new Set(['north']), regions})).to.equal(false);
	});
});
