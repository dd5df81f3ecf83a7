import type {SoakFinding} from './soak-finding.ts';
import type {SoakRecord} from './soak-record.ts';

/** Milliseconds before the time of an end in which this process may have been held up, so that it saw the end late. */
const seenLateMs = 50;

/** Lists the processes that did not end in time and by themselves after SIGTERM, that ended without a signal, or that wrote errors. */
export function listWrongEnds({processes, gracePeriodMs, findLateness}: SoakRecord): readonly SoakFinding[] {
	return processes.flatMap(process => {
		const {host} = process;
		const stop = process.signals().find(({signal}) => signal === 'SIGTERM');
		const isKilled = process.signals().some(({signal}) => signal === 'SIGKILL') && stop === undefined;
		const end = process.end();
		const faults: string[] = [];
		if (host.errors() !== '') {
			faults.push(`wrote to standard error: ${host.errors().slice(0, 2000)}`);
		}

		if (stop === undefined) {
			faults.push(...end === undefined || isKilled ? [] : [`ended with code ${end.code} without a signal`]);
		} else if (!process.isSlowed()) {
			const tookMs = end === undefined ? Number.POSITIVE_INFINITY : end.at - stop.at;
			const latenessMs = end === undefined ? 0 : findLateness(end.at - seenLateMs, end.at);
			faults.push(
				...tookMs - latenessMs <= gracePeriodMs && end?.code === 0 ? [] : [`ended ${Math.round(tookMs)} ms after SIGTERM with code ${end?.code}`],
				...host.output().includes('The host has stopped.') ? [] : ['did not log that it has stopped'],
			);
		}

		return faults.map(what => ({rule: 'END', what: `${host.name} (process ${host.process.pid}) ${what}`}));
	});
}
