import type {LogPoint} from '@sapphirefall/decisions';
import type {LogPoint as LogPointMessage} from './gen/values_pb.ts';

/** Decodes a log point; an absent message is the start of the log. */
export function decodePoint(point: LogPointMessage | undefined): LogPoint {
	return {term: point?.term ?? 0, position: point?.position ?? 0n};
}
