import {execFileSync} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';

const checkout = path.join(import.meta.dirname, '../..');

/** Packages that the log uses only where they are installed. */
const optionalPackages = ['dtrace-provider', 'mv', 'safe-json-stringify'];

/** Bundles the program of a host with the options of the deploy file, so that it takes as much memory as in service; returns its path. */
export function createHostProgram(): string {
	const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'sapphirefall-program-')), 'sapphirefall.cjs');
	execFileSync(path.join(checkout, 'node_modules/.bin/esbuild'), [
		'platform/main.ts',
		'--bundle',
		'--platform=node',
		'--format=cjs',
		'--target=node20',
		`--outfile=${file}`,
		...optionalPackages.map(name => `--external:${name}`),
		'--log-level=warning',
	], {cwd: checkout});
	return file;
}
