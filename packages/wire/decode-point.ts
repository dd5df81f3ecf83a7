import type {LogPoint} from '@sapphirefall/decisions';
import type {LogPoint as LogPointMessage} from './gen/values_pb.ts';

/** Decodes a log point from a message; an absent one is the start of the log. */
export function decodePoint(point: LogPointMessage | undefined): LogPoint {
	return {term: point?.term ?? 0, position: point?.position ?? 0n};
}
