import {decodeResult, type ExecuteResponse} from '@sapphirefall/wire';

/**
 * Formats an answer for a golden file. Leaves out what differs between runs: the session token, the time, and the instance,
 * whose choice depends on the time.
 */
export function formatAnswer({answer}: ExecuteResponse): string {
	switch (answer.case) {
		case 'done': {
			const results = answer.value.results.map(result => {
				const {rows, changes} = decodeResult(result);
				return rows.length > 0 ? `rows ${JSON.stringify(rows.map(row => row.map(String)))}` : `changes ${changes}`;
			});
			return `done${answer.value.replayed ? ', replayed' : ''}: ${results.join('; ')}`;
		}

		case 'notRun': {
			return `not run, code ${answer.value.code}: ${answer.value.reason}`;
		}

		case 'unknown': {
			return `unknown, code ${answer.value.code}: ${answer.value.reason}`;
		}

		default: {
			return 'no answer';
		}
	}
}
