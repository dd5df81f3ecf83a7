import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {collectVotes} from './collect-votes.ts';

/** Milliseconds after which a call to a lost host is given up. */
const callTimeoutMs = 200;

/** Creates the votes that a text lists: a zone with `-` for a host that gets no answer, `+` for one that does, `?` for a lost host. */
const ask = (text: string) => text.split(' ').map(async vote => {
	if (vote.endsWith('?')) {
		await sleep(callTimeoutMs);
		return undefined;
	}

	return {zone: vote.slice(0, 1), isSilent: vote.endsWith('-')};
});

describe(collectVotes.name, () => {
	const cases = [
		{
			name: 'decides without the hosts of a zone that went silent together with the primary', given: 'a- a- b- b- c? c? c?', isSilent: true, isEarly: true,
		},
		{
			name: 'waits for all when those that answered may still be a minority', given: 'a- b- c? c? c?', isSilent: true, isEarly: false,
		},
		{
			name: 'waits for a second zone', given: 'a- a- a- b? b?', isSilent: false, isEarly: false,
		},
		{
			name: 'does not find a primary silent that answers most hosts', given: 'a- b+ b+ c+ c?', isSilent: false, isEarly: false,
		},
	];
	for (const {name, given, isSilent, isEarly} of cases) {
		it(name, async () => {
			const startedAt = performance.now();
			expect(await collectVotes(ask(given))).to.include({isSilent});
			expect(performance.now() - startedAt < callTimeoutMs / 2).to.equal(isEarly);
		});
	}
});
