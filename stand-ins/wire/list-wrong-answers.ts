import {findWrittenItem} from './find-written-item.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {SoakMessage} from './soak-message.ts';
import type {SoakRecord} from './soak-record.ts';

/** Results of a fault of the host or the soak; no client sends what they are for. */
const impossibleResultPattern = /^ERROR (?:MALFORMED|NOSTMT|MOVED|TOOBIG)/v;

/** An item whose value is not made from its name. */
const bigItem = 'soak-big';

/** Writes of the soak itself, which belong to no client. */
const ownWritePattern = /^WRITE soak-/v;

const maxTextLength = 100;

/** Lists the answers that do not belong to their statement, and the statements that an instance ran with another text or that no client sent. */
export function listWrongAnswers({sessions, groups}: SoakRecord): readonly SoakFinding[] {
	const sent = new Map(sessions.flatMap(session => session.messages.map(message => [message.id, {session, message}] as const)));
	const executed = new Map<string, Set<string>>();
	const findings: SoakFinding[] = [];
	for (const instance of groups.flatMap(({instances}) => instances)) {
		for (const {id, text} of instance.executedStatements()) {
			const places = executed.get(id) ?? new Set();
			executed.set(id, places.add(instance.id));
			const found = sent.get(id);
			if (found === undefined ? !text.startsWith('WRITE soak-') : !isSameText(found.message.text, text)) {
				findings.push({rule: 'UNASKED', what: `${instance.id} ran "${text.slice(0, 80)}"`, ...found});
			}
		}
	}

	for (const {session, message} of sent.values()) {
		const what = describeFault(message, executed.get(message.id) ?? new Set());
		if (what !== undefined) {
			findings.push({
				rule: 'MIXED', what, session, message,
			});
		}
	}

	return findings;
}

/** Returns whether an instance was sent the text of a client, perhaps after a position and with another name of a prepared statement. */
function isSameText(text: string, executed: string): boolean {
	const bare = executed.replace(/^AFTER \S+ /v, '');
	return text.startsWith('EXECUTE ') && bare.startsWith('EXECUTE ')
		? text.split(' ').slice(2).join(' ') === bare.split(' ').slice(2).join(' ')
		: text === bare;
}

/** Returns what is wrong with an answer, or undefined. `places` are the instances that ran the statement. */
function describeFault({text, result, rows}: SoakMessage, places: ReadonlySet<string>): string | undefined {
	if (impossibleResultPattern.test(result) && !(result.startsWith('ERROR MALFORMED') && isAfterRefusedBegin(text))) {
		return `answered ${result}`;
	}

	if (!result.startsWith('COMPLETE')) {
		return undefined;
	}

	const signature = result.split(' ')[1] ?? '';
	const hasSignature = needsSignature(text) ? places.has(signature) : signature === '-' || (text === 'COMMIT' && places.has(signature));
	if (!hasSignature) {
		return `answered ${result} and run at ${[...places].join(', ') || 'no instance'}`;
	}

	return areRowsOf(findReadItem(text), rows) ? undefined : `answered with ${rows.length} rows: ${rows.join(' ').slice(0, maxTextLength)}`;
}

function needsSignature(text: string): boolean {
	return findReadItem(text) !== undefined || findWrittenItem(text) !== undefined;
}

function findReadItem(text: string): string | undefined {
	return /^(?:READ|EXECUTE get) (?<item>\S+)/v.exec(text)?.groups?.['item'];
}

/** Returns whether these may be the rows of a statement that reads this item, or none; an item has one value, or none yet. */
function areRowsOf(item: string | undefined, rows: readonly string[]): boolean {
	if (item === undefined) {
		return rows.length === 0;
	}

	const [value = ''] = rows;
	return rows.length === 1 && (item === bigItem || value === '' || value === `of-${item}`);
}

/** Returns whether a client may send this after a `BEGIN` of the same packet, whether or not the transaction began. */
function isAfterRefusedBegin(text: string): boolean {
	return text === 'COMMIT' || text === 'ROLLBACK';
}
