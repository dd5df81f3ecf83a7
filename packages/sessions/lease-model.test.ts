import {expect} from 'chai';
import fc from 'fast-check';
import {modelRow} from './_model-row.ts';
import {modelTimes} from './_model-times.ts';
import {readModelClocks} from './_read-model-clocks.ts';
import {findFenceRemaining} from './find-fence-remaining.ts';
import {findPrimary} from './find-primary.ts';
import type {GroupRow} from './group-row.ts';
import type {Versioned} from './versioned.ts';
import type {Instant} from './instant.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';

const {runs, stepMs} = modelTimes;

/** Milliseconds that a schedule covers. */
const scheduleMs = 9000;

/** A host of a schedule; times in milliseconds of true time. */
type HostPlan = {
	/** When the host registers, which may be during the failover. */
	readonly registersAt: number;
	/** Time between two reads of the row. */
	readonly readInterval: number;
	/** Duration of a read; the store reads the row halfway. */
	readonly readDelay: number;
	/** When the host freezes, as when its machine is suspended, and for how long. */
	readonly frozenFrom: number;
	readonly frozenFor: number;
	/** Whether the steady clock stops while the host is frozen. */
	readonly hasSteadyStop: boolean;
	/** Milliseconds by which the wall clock jumps, and when. */
	readonly wallJump: number;
	readonly jumpsAt: number;
	/** Whether fence requests reach the host. */
	readonly isReachable: boolean;
};

/** Part of the protocol that is left out, to show that the model finds the resulting violation. */
type Omitted = 'nothing' | 'waiting' | 'registration' | 'wallClock' | 'fence';

const time = (max: number) => fc.integer({min: 0, max});

const hostPlan: fc.Arbitrary<HostPlan> = fc.record({
	registersAt: fc.oneof(fc.constant(0), time(5000)),
	readInterval: fc.integer({min: 100, max: 1500}),
	readDelay: time(600),
	frozenFrom: time(5000),
	frozenFor: fc.oneof(fc.constant(0), time(6000)),
	hasSteadyStop: fc.boolean(),
	wallJump: fc.constantFrom(0, 2400, -2400, -9000),
	jumpsAt: time(6000),
	isReachable: fc.boolean(),
});

/** Simulates a schedule; returns a description of a host that used the old primary after the promotion, if any did. */
function findViolation(hosts: readonly HostPlan[], fencedAt: number, omitted: Omitted): string | undefined {
	const isAwake = (plan: HostPlan, now: number) => now < plan.frozenFrom || now >= plan.frozenFrom + plan.frozenFor;
	const states = hosts.map(() => ({
		confirmedAt: undefined as Instant | undefined, row: undefined as Versioned<GroupRow> | undefined, isFenced: false, readAt: 0,
	}));
	/** Indexes of the hosts that have not acknowledged the fence. */
	const pending = new Set(hosts.flatMap((plan, index) => plan.registersAt <= fencedAt ? [String(index)] : []));
	let promotedAt: number | undefined;
	for (let now = 0; now < scheduleMs; now += stepMs) {
		for (const [index, plan] of hosts.entries()) {
			const host = states[index]!;
			if (!isAwake(plan, now)) {
				continue;
			}

			const sentAt = host.readAt;
			const storeReadAt = sentAt + Math.floor(plan.readDelay / 2);
			const canRead = omitted === 'registration' || sentAt >= plan.registersAt;
			if (now >= sentAt + plan.readDelay) {
				if (canRead) {
					host.row = storeReadAt >= fencedAt && omitted !== 'fence' ? {...modelRow, epoch: 2, state: 'fencing'} : modelRow;
					host.confirmedAt = readModelClocks(plan, sentAt);
				}

				host.readAt = now + plan.readInterval;
			}

			if (now > fencedAt && plan.isReachable) {
				host.isFenced = true;
				pending.delete(String(index));
			}

			const clocks = readModelClocks(plan, now);
			const view = findPrimary({
				row: host.isFenced && host.row !== undefined ? {...host.row, state: 'fencing'} : host.row,
				confirmedAt: host.confirmedAt,
				fencedAt: undefined,
				isDemoted: false,
				isRegistered: host.confirmedAt !== undefined,
			}, omitted === 'wallClock' && host.confirmedAt !== undefined ? {...clocks, wall: host.confirmedAt.wall} : clocks);
			if (promotedAt !== undefined && view.kind === 'leased') {
				return `host ${index} uses the old primary at ${now}, after the promotion at ${promotedAt}`;
			}
		}

		const isOver = findFenceRemaining({at: fencedAt, pending: [...pending].map(() => ({leaseMs: leaseDurationMs}))}, now) <= 0;
		if (now > fencedAt && promotedAt === undefined && (omitted === 'waiting' || isOver)) {
			promotedAt = now;
		}
	}

	return undefined;
}

const createProperty = (omitted: Omitted) => fc.property(fc.array(hostPlan, {minLength: 1, maxLength: 4}), fc.integer({min: 500, max: 5000}), (hosts, fencedAt) => {
	expect(findViolation(hosts, fencedAt, omitted)).to.equal(undefined);
});

describe('leases on primaries, modelled with frozen hosts, clock jumps and lost messages', () => {
	it('let no host use a primary after its successor was promoted', () => {
		fc.assert(createProperty('nothing'), {numRuns: runs});
	}).timeout(600_000);

	const omissions: readonly Omitted[] = ['waiting', 'registration', 'wallClock', 'fence'];
	for (const omitted of omissions) {
		it(`fail without ${omitted}, which shows that the model finds violations`, () => {
			expect(fc.check(createProperty(omitted), {numRuns: 20_000, seed: 1}).failed).to.equal(true);
		}).timeout(600_000);
	}
});
