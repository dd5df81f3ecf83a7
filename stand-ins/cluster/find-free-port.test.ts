import {readFileSync} from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';
import {findFreePort} from './find-free-port.ts';

/** Ports that are looked at; more than the hosts of a long soak take. */
const portCount = 300;

/** Reads the first port of the blocks that the scripts of the review take. */
function readFirstReviewPort(): number {
	const source = readFileSync(path.join(import.meta.dirname, '../../review/lib/hosts.mjs'), 'utf8');
	const [, first = ''] = /const blocks = \{first: (\d+_\d+)/v.exec(source) ?? [];
	return Number(first.replace('_', ''));
}

describe(findFreePort.name, () => {
	// Guards against a host that does not start because a script of the review, run at the same time, has taken its port meanwhile.
	it('gives each port once, and none that the scripts of the review take', async () => {
		const ports: number[] = [];
		for (let index = 0; index < portCount; index++) {
			ports.push(await findFreePort()); // eslint-disable-line no-await-in-loop -- one after another
		}

		expect(new Set(ports).size).to.equal(portCount);
		expect(Math.max(...ports)).to.be.below(readFirstReviewPort());
	});
});
