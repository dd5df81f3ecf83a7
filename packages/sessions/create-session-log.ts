import type {Writable} from 'node:stream';
import bunyan from 'bunyan';
import {admitLogLine} from './admit-log-line.ts';
import type {LogLineBudget} from './log-line-budget.ts';
import type {SessionLog} from './session-log.ts';

type Options = {
	/** Name of the host. */
	readonly host: string;
	readonly output: Writable;
	/** Present steady milliseconds. */
	readonly now: () => number;
	/** Called with each line that is left out. */
	readonly onDropped: () => void;
};

/** Bytes that may wait in the output before lines are left out. */
const waitingLimit = 256 * 1024;

/** Creates the log of a host: structured lines, bounded in number, which never wait for a reader. */
export function createSessionLog({host, output, now, onDropped}: Options): SessionLog {
	const log = bunyan.createLogger({name: 'sapphirefall', host, streams: [{stream: output, level: 'debug'}]});
	let budget: LogLineBudget = {startedAt: now(), written: 0, dropped: 0};

	const write = (level: 'debug' | 'info' | 'warn', fields: Parameters<SessionLog['debug']>[0], line: string) => {
		const admitted = admitLogLine(budget, {isOrdinary: level === 'debug', isBlocked: output.writableLength > waitingLimit, now: now()});
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
