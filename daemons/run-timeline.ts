import {readFileSync} from 'node:fs';
import process from 'node:process';
import {resultCodes} from '@sapphirefall/decisions';
import {
	formatEvent, formatTimeline, mergeTimeline, parseEvent, type EventFilter,
} from '@sapphirefall/events';
import {CommandError} from './command-error.ts';

type Options = EventFilter & {readonly json?: boolean};

/**
 * Runs `sapphirefall timeline`: merges the events of several processes into one timeline and prints it.
 *
 * @param sources Paths of event files, or URLs of the operator interfaces of hosts, whose `/events` is read.
 * @param options Filter of the events, and the output format.
 */
export async function runTimeline(sources: readonly string[], options: Options): Promise<void> {
	const texts = await Promise.all(sources.map(async source => readSource(source)));
	const events = texts
		.flatMap(text => text.split('\n'))
		.map(line => parseEvent(line))
		.filter(event => event !== undefined);
	const merged = mergeTimeline(events, options);
	console.log(options.json === true
		? merged.map(event => formatEvent(event)).join('\n')
		: formatTimeline(merged));
}

async function readSource(source: string): Promise<string> {
	try {
		return URL.canParse(source) ? await fetchEvents(source) : readFileSync(source, 'utf8');
	} catch (error) {
		throw new CommandError(resultCodes.hostUnreachable, `The events of "${source}" cannot be read: ${(error as Error).message}`);
	}
}

async function fetchEvents(address: string): Promise<string> {
	const token = process.env['SAPPHIREFALL_OPERATOR_TOKEN'] ?? '';
	const response = await fetch(new URL('/events', address), {headers: {authorization: `Bearer ${token}`}});
	if (!response.ok) {
		throw new Error(await response.text());
	}

	return response.text();
}
