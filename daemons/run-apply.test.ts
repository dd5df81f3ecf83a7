import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {resultCodes} from '@sapphirefall/decisions';
import {startCluster} from '../stand-ins/cluster/start-cluster.ts';
import type {Cluster} from '../stand-ins/cluster/cluster.ts';
import {CommandError} from './command-error.ts';
import {runApply} from './run-apply.ts';

const digest = 'a'.repeat(64);

const declared = `
workspaces:
  upper: {rate: 50, burst: 100, databases: [pondbook]}
  lower: {rate: 5, burst: 10, databases: [pondbook]}
keys:
  upper-1: {workspace: upper, digest: ${digest}}
freshness:
  report: within 10s
exceptions:
  - {workspace: lower, kind: report, freshness: latest, reason: the auditors compare with the bank}
routes:
  levels: {workspace: upper, database: pondbook, sql: SELECT 1, freshness: within 1m}
`;

const faulty = `
workspaces:
  upper: {rate: -1, burst: 100, databases: [pondbook]}
limits: {}
freshness:
  report: soon
`;

type Case = {
	readonly title: string;
	readonly text: string;
	readonly options?: {readonly dryRun?: boolean; readonly basedOn?: number; readonly json?: boolean};
	/** Expected output lines, in order. */
	readonly lines?: readonly string[];
	/** Code of the expected error, and texts that its message includes. */
	readonly error?: {readonly code: number; readonly texts: readonly string[]};
};

const additions = [
	'+ exception of lower for report: latest, since the auditors compare with the bank',
	'+ freshness report: within 10000ms',
	'+ key upper-1: of workspace upper',
	'+ route levels: SELECT 1 in pondbook, within 60000ms, paid by upper',
	'+ workspace lower: rate 5, burst 10, databases pondbook',
	'+ workspace upper: rate 50, burst 100, databases pondbook',
];

const cases: readonly Case[] = [
	{
		title: 'refuses an invalid file with a line for each error',
		text: faulty,
		error: {code: resultCodes.settingsInvalid, texts: [':3: workspaces.upper.rate', ':4: limits', ':6: freshness.report']},
	},
	{
		title: 'shows the differences in a dry run', text: declared, options: {dryRun: true}, lines: additions,
	},
	{title: 'applies the declaration in one change; the dry run has changed nothing', text: declared, lines: [...additions, 'Configuration version 1 holds the change']},
	{title: 'finds no differences when the declaration is applied again', text: declared, lines: ['Nothing differs']},
	{
		title: 'leaves sections that the file does not declare unchanged',
		text: 'workspaces:\n  upper: {rate: 60, burst: 100, databases: [pondbook]}\n  lower: {rate: 5, burst: 10, databases: [pondbook]}\n',
		options: {basedOn: 1},
		lines: [
			'~ workspace upper: rate 50, burst 100, databases pondbook -> rate 60, burst 100, databases pondbook',
			'Configuration version 2 holds the change',
		],
	},
	{
		title: 'refuses a change that is based on an outdated version, and lists what changed since',
		text: 'routes: {}\n',
		options: {basedOn: 1},
		error: {code: resultCodes.versionConflict, texts: ['changed since: 2: declaration of workspaces applied']},
	},
	{
		title: 'prints the differences as JSON',
		text: 'routes: {}\n',
		options: {dryRun: true, json: true},
		lines: ['[{"kind":"removed","name":"route levels","before":"SELECT 1 in pondbook, within 60000ms, paid by upper","after":""}]'],
	},
];

describe('sapphirefall apply', () => {
	let cluster: Cluster;
	const directory = mkdtempSync(path.join(tmpdir(), 'sapphirefall-'));
	const file = path.join(directory, 'fleet.yaml');

	before(async () => {
		cluster = await startCluster({
			zones: ['a'], hostsPerZone: 1, databases: ['pondbook'], zoneDelay: 0, zoneJitter: 0, zoneLoss: 0, host: {}, endpoint: {}, seed: 1,
		});
		process.env['SAPPHIREFALL_OPERATOR_TOKEN'] = cluster.operatorToken;
	});

	after(async () => {
		delete process.env['SAPPHIREFALL_OPERATOR_TOKEN'];
		rmSync(directory, {recursive: true});
		await cluster.stop();
	});

	const apply = async (options: Case['options']) =>
		runCaptured(async () => runApply(file, {...options, address: cluster.operatorUrl('host-a1')}));

	for (const {
		title, text, options, lines, error,
	} of cases) {
		it(title, async () => {
			writeFileSync(file, text);
			const run = await apply(options);
			if (error === undefined) {
				expect(run.error).to.equal(undefined);
				expect(run.lines).to.deep.equal(lines);
			} else {
				expect(run.error?.code).to.equal(error.code);
				for (const part of error.texts) {
					expect(run.error?.message).to.include(part);
				}
			}
		});
	}
});

/** Runs a command, and returns the lines that it printed and the command error that it threw. */
async function runCaptured(command: () => Promise<void>): Promise<{readonly lines: readonly string[]; readonly error: CommandError | undefined}> {
	const lines: string[] = [];
	const {log} = console;
	console.log = (line: string) => {
		lines.push(line);
	};

	try {
		await command();
		return {lines, error: undefined};
	} catch (error) {
		if (error instanceof CommandError) {
			return {lines, error};
		}

		throw error;
	} finally {
		console.log = log;
	}
}
