/** A processor profile as Node writes it. */
type Profile = {
	readonly nodes: ReadonlyArray<{readonly id: number; readonly callFrame: {readonly functionName: string; readonly url: string}}>;
	readonly samples: readonly number[];
	/** Microseconds from one sample to the next. */
	readonly timeDeltas: readonly number[];
};

/** What a part of the program is told by, in the address of a function's file; the first that fits counts. */
const parts: ReadonlyArray<readonly [string, RegExp]> = [
	['lines of callers and instances', /platform\/(?:create-(?:answer-reader|line-splitter)|decode-client|encode-|open-instance|serve-sessions)/v],
	['store and settings', /platform\//v],
	['jobs and calls between hosts', /packages\/(?:hosts|wire)\/|bufbuild|connectrpc/v],
	['rates', /packages\/sessions\/(?:.*rate|.*share|.*grant|take-operation|create-unit)/v],
	['knowledge of the store', /packages\/sessions\/(?:.*table|.*knowledge|follow|choose-source|parse-fleet|find-proof)/v],
	['deciding', /packages\/(?:sessions|decisions)\//v],
	['logs and metrics', /bunyan|prom-client/v],
	['Node: HTTP', /node:(?:_http|http|internal\/http)/v],
	['Node: sockets and streams', /node:(?:net|internal\/(?:streams|stream_base)|_stream|stream)/v],
	['Node: timers and promises', /node:(?:timers|internal\/(?:timers|process|async_hooks|per_context|abort|event_target))/v],
	['Node: other', /node:/v],
];

/**
 * Summarizes the last milliseconds of a profile by part of the program; the time without work is left out.
 *
 * @param text The file that Node wrote.
 * @param span Milliseconds before the end of the profile that count.
 */
export function summarizeProfile(text: string, span: number): ReadonlyMap<string, number> {
	const {nodes, samples, timeDeltas} = JSON.parse(text) as Profile;
	const partOf = new Map(nodes.map(({id, callFrame}) => [id, findPart(callFrame)]));
	const spans = new Map<string, number>();
	const whole = timeDeltas.reduce((sum, delta) => sum + delta, 0) / 1000;
	let at = 0;
	for (const [index, sample] of samples.entries()) {
		const delta = (timeDeltas[index] ?? 0) / 1000;
		const part = partOf.get(sample);
		at += delta;
		if (part !== undefined && at > whole - span) {
			spans.set(part, (spans.get(part) ?? 0) + delta);
		}
	}

	return spans;
}

function findPart({functionName, url}: Profile['nodes'][number]['callFrame']): string | undefined {
	if (functionName === '(idle)' || functionName === '(root)') {
		return undefined;
	}

	if (functionName === '(garbage collector)') {
		return 'garbage collection';
	}

	return parts.find(([, pattern]) => pattern.test(url))?.[0] ?? 'system calls and native code';
}
