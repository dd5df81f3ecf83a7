import type {Writable} from 'node:stream';
import bunyan from 'bunyan';
import {admitLogLine} from './admit-log-line.ts';
import type {LogLineBudget} from './log-line-budget.ts';
import type {SessionLog} from './session-log.ts';

type Options = {
	readonly host: string;
	readonly output: Writable;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	/** Called once for each dropped line. */
	readonly onDropped: () => void;
};

/** Bytes buffered in the output above which lines are dropped. */
const maxBufferedBytes = 256 * 1024;

/**
 * Creates the structured log of a host.
 *
 * The rate of lines is limited, and lines are dropped while the output is full, so that a slow or missing reader never
 * blocks the process. The next line that is written holds the number of dropped lines in its field `dropped`.
 */
export function createSessionLog({host, output, now, onDropped}: Options): SessionLog {
	const log = bunyan.createLogger({name: 'sapphirefall', host, streams: [{stream: output, level: 'debug'}]});
	let budget: LogLineBudget = {startedAt: now(), written: 0, dropped: 0};

	const write = (level: 'debug' | 'info' | 'warn', fields: Parameters<SessionLog['debug']>[0], line: string) => {
		const admitted = admitLogLine(budget, {isDebug: level === 'debug', isOutputFull: output.writableLength > maxBufferedBytes, now: now()});
		({budget} = admitted);
		if (!admitted.isWritten) {
			onDropped();
			return;
		}

		const {dropped} = budget;
		budget = {...budget, dropped: 0};
		const content = typeof fields === 'function' ? fields() : fields;
		log[level](dropped > 0 ? {...content, dropped} : content, line);
	};

	return {
		debug(fields, line) {
			write('debug', fields, line);
		},
		info(fields, line) {
			write('info', fields, line);
		},
		warn(fields, line) {
			write('warn', fields, line);
		},
	};
}
