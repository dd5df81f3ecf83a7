import {expect} from 'chai';
import {createLeavingPrimaries} from './create-leaving-primaries.ts';

type Observation = Parameters<ReturnType<typeof createLeavingPrimaries>['record']>[1];

const drainLimitMs = 7000;

describe('createLeavingPrimaries', () => {
	const departing: Observation = {
		primary: 'i-a', isDeparting: true, missingSince: undefined, now: 1000,
	};
	const cases: ReadonlyArray<{readonly name: string; readonly observations: readonly Observation[]; readonly now: number; readonly isFenceDue: boolean}> = [
		{
			name: 'waits for other failovers at first', observations: [departing], now: 4500, isFenceDue: false,
		},
		{
			name: 'has the primary fenced after half of the time to drain', observations: [departing], now: 4501, isFenceDue: true,
		},
		{
			name: 'counts the time from the first list that named the departure', observations: [departing, {...departing, now: 4000}], now: 4501, isFenceDue: true,
		},
		{
			name: 'counts the time of a primary that is not listed any more from when it was missing',
			observations: [{...departing, isDeparting: false, missingSince: 200}], now: 3701, isFenceDue: true,
		},
		{
			name: 'lets a primary stay that is not departing any more', observations: [departing, {...departing, isDeparting: false, now: 2000}], now: 9000, isFenceDue: false,
		},
		{
			name: 'begins anew with another primary', observations: [departing, {...departing, primary: 'i-b', now: 4000}], now: 7000, isFenceDue: false,
		},
	];
	for (const {name, observations, now, isFenceDue} of cases) {
		it(name, () => {
			const leaving = createLeavingPrimaries(drainLimitMs);
			for (const observation of observations) {
				leaving.record('pondbook', observation);
			}

			expect(leaving.isFenceDue('pondbook', now)).to.equal(isFenceDue);
		});
	}

	it('knows nothing of a group that it has forgotten', () => {
		const leaving = createLeavingPrimaries(drainLimitMs);
		leaving.record('pondbook', departing);
		leaving.forget('pondbook');
		expect(leaving.isFenceDue('pondbook', 9000)).to.equal(false);
	});
});
