import {z} from 'zod';
import type {ProcessEvent} from './process-event.ts';

const schema = z.object({
	time: z.string().regex(/^\d+$/v).transform(BigInt),
	process: z.string(),
	kind: z.string(),
	request: z.string().optional(),
	workspace: z.string().optional(),
	database: z.string().optional(),
	detail: z.string().optional(),
});

/** Parses a line of JSON as an event. Returns `undefined` for other lines, such as a log line between events. */
export function parseEvent(line: string): ProcessEvent | undefined {
	if (!line.startsWith('{')) {
		return undefined;
	}

	try {
		return schema.parse(JSON.parse(line)) as ProcessEvent;
	} catch {
		return undefined;
	}
}
