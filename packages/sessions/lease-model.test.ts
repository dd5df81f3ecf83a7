import process from 'node:process';
import {expect} from 'chai';
import fc from 'fast-check';
import {findFenceRemaining} from './find-fence-remaining.ts';
import {findPrimary} from './find-primary.ts';
import type {GroupRow} from './group-row.ts';
import type {Instant} from './instant.ts';

/** Schedules tried; many more by hand with SAPPHIREFALL_MODEL_RUNS. */
const runs = Number(process.env['SAPPHIREFALL_MODEL_RUNS'] ?? 3000);

/** Milliseconds for which a schedule goes on. */
const length = 9000;

/** Milliseconds of one step of a schedule. */
const stepSpan = 50;

const serving: GroupRow = {
	epoch: 1, state: 'serving', primary: 'old', successor: '', holder: 'x', token: 1,
};

/** A host of a schedule; times in milliseconds of true time. */
type HostPlan = {
	/** When it registers; a host that comes late may do so during the replacement. */
	readonly registersAt: number;
	/** Between two reads of the row. */
	readonly readInterval: number;
	/** From the store's reading of the row to its arrival. */
	readonly readDelay: number;
	readonly frozenFrom: number;
	readonly frozenFor: number;
	/** Whether the steady clock stands still while the host is frozen. */
	readonly doesSteadyStop: boolean;
	/** Milliseconds by which the wall clock jumps, and when. */
	readonly wallJump: number;
	readonly jumpsAt: number;
	/** Whether messages of the host that replaces the primary arrive. */
	readonly isReached: boolean;
};

/** What is taken out of the protocol, to show that the model notices. */
type Left = 'nothing' | 'waiting' | 'registration' | 'wallClock' | 'fence';

const time = (most: number) => fc.integer({min: 0, max: most});

const hostPlan: fc.Arbitrary<HostPlan> = fc.record({
	registersAt: fc.oneof(fc.constant(0), time(5000)),
	readInterval: fc.integer({min: 100, max: 1500}),
	readDelay: time(600),
	frozenFrom: time(5000),
	frozenFor: fc.oneof(fc.constant(0), time(6000)),
	doesSteadyStop: fc.boolean(),
	wallJump: fc.constantFrom(0, 2400, -2400, -9000),
	jumpsAt: time(6000),
	isReached: fc.boolean(),
});

/** Reads the clocks of a host at a true time. */
function readClocks(plan: HostPlan, now: number): Instant {
	const frozen = Math.max(0, Math.min(now, plan.frozenFrom + plan.frozenFor) - plan.frozenFrom);
	return {
		steady: plan.doesSteadyStop ? now - frozen : now,
		// A host whose steady clock stops is seen by its wall clock alone, which then does not jump as well.
		wall: now + (now >= plan.jumpsAt && !plan.doesSteadyStop ? plan.wallJump : 0),
	};
}

/** Plays a schedule; returns a description of a host that used the old primary after the promotion, if any did. */
function findViolation(hosts: readonly HostPlan[], fencedAt: number, left: Left): string | undefined {
	const isAwake = (plan: HostPlan, now: number) => now < plan.frozenFrom || now >= plan.frozenFrom + plan.frozenFor;
	const known = hosts.map(() => ({
		provenAt: undefined as Instant | undefined, row: undefined as GroupRow | undefined, isFenced: false, readAt: 0,
	}));
	/** Hosts that the fence has to wait for, by their index. */
	const open = new Set(hosts.flatMap((plan, index) => plan.registersAt <= fencedAt ? [String(index)] : []));
	let promotedAt: number | undefined;
	for (let now = 0; now < length; now += stepSpan) {
		for (const [index, plan] of hosts.entries()) {
			const host = known[index]!;
			if (!isAwake(plan, now)) {
				continue;
			}

			const sentAt = host.readAt;
			const storeReadAt = sentAt + Math.floor(plan.readDelay / 2);
			const mayRead = left === 'registration' || sentAt >= plan.registersAt;
			if (now >= sentAt + plan.readDelay) {
				if (mayRead) {
					host.row = storeReadAt >= fencedAt && left !== 'fence' ? {...serving, epoch: 2, state: 'fencing'} : serving;
					host.provenAt = readClocks(plan, sentAt);
				}

				host.readAt = now + plan.readInterval;
			}

			if (now > fencedAt && plan.isReached) {
				host.isFenced = true;
				open.delete(String(index));
			}

			const clocks = readClocks(plan, now);
			const view = findPrimary({
				row: host.isFenced && host.row !== undefined ? {...host.row, state: 'fencing'} : host.row,
				confirmedAt: host.provenAt,
				fencedAt: undefined,
				isRegistered: host.provenAt !== undefined,
			}, left === 'wallClock' && host.provenAt !== undefined ? {...clocks, wall: host.provenAt.wall} : clocks);
			if (promotedAt !== undefined && view.kind === 'leased') {
				return `host ${index} uses the old primary at ${now}, after the promotion at ${promotedAt}`;
			}
		}

		const isOver = findFenceRemaining({at: {steady: fencedAt, wall: fencedAt}, open}, {steady: now, wall: now}) <= 0;
		if (now > fencedAt && promotedAt === undefined && (left === 'waiting' || isOver)) {
			promotedAt = now;
		}
	}

	return undefined;
}

const createProperty = (left: Left) => fc.property(fc.array(hostPlan, {minLength: 1, maxLength: 4}), fc.integer({min: 500, max: 5000}), (hosts, fencedAt) => {
	expect(findViolation(hosts, fencedAt, left)).to.equal(undefined);
});

describe('leases on primaries, as a model with frozen hosts, clock jumps and lost messages', () => {
	it('let no host use a primary that was replaced', () => {
		fc.assert(createProperty('nothing'), {numRuns: runs});
	}).timeout(600_000);

	const taken: readonly Left[] = ['waiting', 'registration', 'wallClock', 'fence'];
	for (const left of taken) {
		it(`fail without ${left}, so the model would notice`, () => {
			expect(fc.check(createProperty(left), {numRuns: 20_000, seed: 1}).failed).to.equal(true);
		}).timeout(600_000);
	}
});
