import {expect} from 'chai';
import {createSilenceVote} from './create-silence-vote.ts';
import type {InstanceRuntime} from './instance-runtime.ts';

const ignore = () => undefined;

/** Creates the vote of host `a1`, for which the instance is silent; `others` tells for which other hosts it is. */
function createVote(others: Readonly<Record<string, boolean>>) {
	let at = 10_000;
	let asked = 0;
	const vote = createSilenceVote({
		self: 'a1',
		listHosts: () => ['a1', ...Object.keys(others)].map(name => ({name, zone: name.slice(0, 1)})),
		findInstance: () => ({health: () => ({lastAnswerAt: 0, unansweredSince: 0})}) as unknown as InstanceRuntime,
		findPeer: name => ({
			async confirmSilence() {
				asked++;
				return others[name];
			},
		}),
		findWorkspace: () => 'upper',
		now: () => at,
		log: {debug: ignore, info: ignore, warn: ignore},
	});
	return {
		asked: () => asked,
		async confirm(now: number) {
			at = now;
			return vote.isConfirmed('pondbook', 'i-1');
		},
	};
}

describe(createSilenceVote.name, () => {
	it('finds a primary silent that hosts of two zones get no answer from', async () => {
		const {confirm} = createVote({
			a2: true, b1: true, b2: true, c1: false,
		});
		expect(await confirm(10_000)).to.equal(true);
	});

	it('asks nobody again for a while after hosts of a zone that is cut off have voted in vain', async () => {
		const {confirm, asked} = createVote({
			a2: true, b1: false, b2: false, c1: false,
		});
		expect(await confirm(10_000)).to.equal(false);
		expect(await confirm(10_300)).to.equal(false);
		expect(asked()).to.equal(4);
		expect(await confirm(10_600)).to.equal(false);
		expect(asked()).to.equal(8);
	});
});
