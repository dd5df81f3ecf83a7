import type {Day} from './day.ts';

const logLine = /^\s*(?<at>-?[\d.]+) \S+ (?<fields>\{.*\})$/v;

const windowLine = /^(?<from>\d+)\s+(?<asked>\d+)\s+\d+\s+\d+\s+\d+\s+\d+\s+(?<notOwed>\d+)\s+(?<worth>[\d.]+)\s/v;

/** Names of instances, hosts and spans of time in a reason. */
const variableParts = /\bi-[\da-f]+|\bfront-[\w\-]+|[\d.]+ ms/gv;

/** Parses the output of a played day that includes the logs of all hosts; lines of other kinds are skipped. */
export function parseDay(output: string): Day {
	const lines = output.split('\n');
	return {
		windows: lines.map(line => parseWindow(line)).filter(window => window !== undefined),
		failed: lines.map(line => parseFailed(line)).filter(statement => statement !== undefined),
	};
}

function parseWindow(line: string): Day['windows'][number] | undefined {
	const {from, asked, notOwed, worth} = windowLine.exec(line)?.groups ?? {};
	return from === undefined ? undefined : {from: Number(from), owed: Number(asked) - Number(notOwed), worth: Number(worth)};
}

function parseFailed(line: string): Day['failed'][number] | undefined {
	const {at, fields} = logLine.exec(line)?.groups ?? {};
	if (!fields?.includes('request: The statement failed.')) {
		return undefined;
	}

	const {outcome, reason} = JSON.parse(fields) as {readonly outcome: string; readonly reason?: string};
	return {at: Number(at), cause: `${outcome}: ${(reason ?? '').replaceAll(variableParts, '…')}`};
}
