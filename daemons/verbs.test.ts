import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';

const root = path.join(import.meta.dirname, '..');

/** Lists the TypeScript sources in a directory, without tests, generated code and dependencies. */
function listSources(directory: string): readonly string[] {
	return readdirSync(path.join(root, directory), {recursive: true, encoding: 'utf8'})
		.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts') && !file.includes('node_modules') && !file.includes('gen/'))
		.map(file => path.join(directory, file));
}

describe('docs/VERBS.md', () => {
	const page = readFileSync(path.join(root, 'docs/VERBS.md'), 'utf8');
	const verbs = [...page.matchAll(/^\| (?<verbs>[a-z, ]+) \|/gmv)].flatMap(({groups}) => groups?.['verbs']?.split(', ') ?? []);
	const verbPrefix = new RegExp(`^(?:${verbs.join('|')})(?:[A-Z]|$)`, 'v');

	it('covers every exported function, of which a file has one', () => {
		for (const file of ['packages', 'platform', 'daemons', 'stand-ins', 'scenarios', 'bench'].flatMap(directory => listSources(directory))) {
			const text = readFileSync(path.join(root, file), 'utf8');
			const functions = [...text.matchAll(/^export (?:async )?function \*? ?(?<name>\w+)/gmv)].map(({groups}) => groups?.['name'] ?? '');
			for (const name of functions) {
				expect(name, file).to.match(verbPrefix);
			}

			if (path.basename(file) !== 'mod.ts') {
				const exported = [...text.matchAll(/^export /gmv)];
				expect(exported.length, `${file} exports one thing`).to.be.at.most(1);
			}
		}
	});
});
