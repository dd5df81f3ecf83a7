import {expect} from 'chai';
import {applyGrant} from './apply-grant.ts';
import {createShareState} from './create-share-state.ts';

const at = (steady: number) => ({steady, wall: steady});

describe('applyGrant', () => {
	const grant = {
		rate: 10, units: 0, spanMs: 3000, requestedAt: at(500), now: 600,
	};

	it('counts the time since the process start for the first grant, as after a restart of all hosts', () => {
		expect(applyGrant(createShareState(at(0)), grant)).to.include({rate: 10, tokens: 6, refilledAt: 600});
	});

	it('adds operations granted from the pool', () => {
		expect(applyGrant({...createShareState(at(0)), spanMs: 3000}, {...grant, units: 2})).to.include({tokens: 2});
	});

	it('does not count the same time again for later grants', () => {
		const share = {...applyGrant(createShareState(at(0)), grant), tokens: 1};
		expect(applyGrant(share, {...grant, now: 1300})).to.include({tokens: 1, refilledAt: 600});
	});
});
