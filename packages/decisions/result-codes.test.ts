import {readFileSync} from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';
import {resultCodes} from './result-codes.ts';

describe('docs/RESULT-CODES.md', () => {
	it('lists every code, and no other', () => {
		const page = readFileSync(path.join(import.meta.dirname, '../../docs/RESULT-CODES.md'), 'utf8');
		const listed = [...page.matchAll(/^\| (?<code>\d+) \| (?<name>\w+) \|/gmv)].map(({groups}) => [groups?.['name'], Number(groups?.['code'])]);
		expect(listed).to.deep.equal(Object.entries(resultCodes));
	});
});
