import {expect} from 'chai';
import {isHostSilent} from './is-host-silent.ts';

// Guards against a lock that is taken from a host which is only slow for a moment.
describe('isHostSilent', () => {
	const cases = [
		{name: 'answers', answers: [true], expected: false},
		{name: 'answers the third ping', answers: [undefined, undefined, true], expected: false},
		{name: 'answers none', answers: [], expected: true},
	];
	for (const {name, answers, expected} of cases) {
		it(`is ${expected} for a host that ${name}`, async () => {
			let pings = 0;
			const ping = async () => answers[pings++];
			expect(await isHostSilent({ping}, () => performance.now())).to.equal(expected);
		});
	}

	it('is true for a host whose address is not known', async () => {
		expect(await isHostSilent(undefined, () => performance.now())).to.equal(true);
	});
});
