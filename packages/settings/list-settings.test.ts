import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {hostSchema} from './host-schema.ts';
import {listSettings} from './list-settings.ts';

const page = path.join(import.meta.dirname, '../../docs/SETTINGS.md');

const intro = `# Settings

The settings of an entry host are a YAML file; \`sapphirefall check FILE\` reports every error in it
with its line. Unknown names are errors. A setting without a default is required, except for \`listen.streams\`.
Times are in milliseconds. Samples for the current deployments are in \`settings-samples/\`.

| setting | default | unit and meaning |
| --- | --- | --- |
`;

describe('docs/SETTINGS.md', () => {
	it('names every setting with its default and its meaning', () => {
		const rows = listSettings(hostSchema).map(({path, defaultJson, description}) => `| ${path} | ${defaultJson} | ${description} |\n`);
		const text = `${intro}${rows.join('')}`;
		if (process.env['UPDATE_GOLDEN'] === '1') {
			writeFileSync(page, text);
		}

		expect(readFileSync(page, 'utf8')).to.equal(text);
	});

	for (const {path, description} of listSettings(hostSchema)) {
		it(`documents the unit of ${path}`, () => {
			expect(description).to.match(/^(?:Milliseconds|Number|Bytes|Name|Address|URL|Share|SHA-256|Text)/v);
		});
	}
});
