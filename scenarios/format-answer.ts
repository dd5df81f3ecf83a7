import {decodeResult, type ExecuteResponse} from '@sapphirefall/wire';

/** Formats an answer for a golden file; the session token, the time and the instance, which depends on it, are left out. */
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
