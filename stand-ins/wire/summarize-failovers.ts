import {isWhole} from './is-whole.ts';
import type {SoakRecord} from './soak-record.ts';

/** Summarizes what became of the statements and commits of a soak of failovers, as lines for people. */
export function summarizeFailovers({sessions, groups}: SoakRecord, promotionCount: number): readonly string[] {
	const messages = sessions.flatMap(session => session.messages);
	const commits = groups.flatMap(group => group.commits());
	const done = messages.filter(message => isWhole(message) && message.result.startsWith('COMPLETE'));
	const terms = groups.map(group => `${group.name} ${group.leader().term()}`);
	return [
		`sessions ${sessions.length}, statements ${messages.length}, done ${done.length}`,
		`promotions ${promotionCount}, newest terms ${terms.join(', ')}`,
		`commits ${commits.length}, rolled back ${commits.filter(({isRolledBack}) => isRolledBack).length}, behind a promotion ${commits.filter(({isBehindPromotion}) => isBehindPromotion).length}`,
	];
}
