import {findWrittenItem} from './find-written-item.ts';
import {isWhole} from './is-whole.ts';
import type {SoakMessage} from './soak-message.ts';
import type {SoakSession} from './soak-session.ts';
import type {SoakWrite} from './soak-write.ts';

/** Results that promise nothing about whether the statement took effect. */
const unknownResultPattern = /^ERROR (?:UNKNOWN|TIMEOUT|FAILED)/v;

/** Lists the writes of a session with what its client knows of each at the end. */
export function listSoakWrites(session: SoakSession): readonly SoakWrite[] {
	const writes: SoakWrite[] = [];
	let state = session.startState;
	let open: SoakMessage[] = [];
	let hasUnansweredBegin = false;

	const settle = (messages: readonly SoakMessage[], fate: SoakWrite['fate'], by: SoakMessage | undefined) => {
		for (const message of messages) {
			writes.push({
				item: findWrittenItem(message.text) ?? '', session, message, fate, knownAt: by?.endedAt ?? session.closedAt, told: by === undefined ? 'end of the session' : `${by.text}: ${by.result}`,
			});
		}
	};

	const findFate = (message: SoakMessage): SoakWrite['fate'] => {
		if (!isWhole(message) || unknownResultPattern.test(message.result)) {
			return 'unknown';
		}

		return message.result.startsWith('COMPLETE') ? 'kept' : 'dropped';
	};

	const settleWrite = (message: SoakMessage) => {
		if (state === 'T' && !hasUnansweredBegin) {
			open.push(message);
		} else if (state === 'E') {
			settle([message], 'dropped', message);
		} else {
			settle([message], hasUnansweredBegin ? 'unknown' : findFate(message), message);
		}
	};

	for (const message of session.messages) {
		const {text} = message;
		if (findWrittenItem(text) !== undefined) {
			settleWrite(message);
		} else if (text === 'COMMIT' && state === 'T') {
			settle(open, findFate(message), message);
			open = [];
		} else if (text.startsWith('BEGIN') && !isWhole(message)) {
			hasUnansweredBegin = true;
		}

		if (isWhole(message)) {
			({state} = message);
		}

		if (state !== 'T') {
			settle(open, 'dropped', message);
			open = [];
		}
	}

	settle(open, 'dropped', undefined);
	return writes;
}
