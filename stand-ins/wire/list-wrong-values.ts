import {describeValues} from './describe-values.ts';
import type {SoakFinding} from './soak-finding.ts';
import type {SoakRecord} from './soak-record.ts';

/** Lists the statements that an instance ran with other session values than those that had been acknowledged before. */
export function listWrongValues({sessions, groups}: Pick<SoakRecord, 'sessions' | 'groups'>): readonly SoakFinding[] {
	const expected = new Map(sessions.flatMap(session => {
		const values = new Map<string, string>();
		return session.messages.map(message => {
			const acknowledged = describeValues(values);
			const [command, name = '', value = ''] = message.text.split(' ');
			if (command === 'SET' && message.result.startsWith('COMPLETE')) {
				values.set(name, value);
			}

			return [message.id, {session, message, acknowledged}] as const;
		});
	}));
	const executed = groups.flatMap(({instances}) => instances).flatMap(instance => instance.executedStatements());
	return executed.flatMap(({id, variables}) => {
		const statement = expected.get(id);
		const values = describeValues(variables);
		return statement === undefined || statement.acknowledged === values
			? []
			: [{
				rule: 'PINNED', what: `ran with the values "${values}", though "${statement.acknowledged}" were acknowledged`, session: statement.session, message: statement.message,
			}];
	});
}
