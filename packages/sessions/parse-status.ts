import type {InstanceStatus} from './instance-status.ts';

/** Parses the status row of an instance, `<role> <newest term> <term>.<number>`; undefined when it is malformed. */
export function parseStatus(row: string): InstanceStatus | undefined {
	const [role, term, position = ''] = row.split(' ');
	const match = /^(?<term>\d+)\.(?<number>\d+)$/v.exec(position);
	if ((role !== 'primary' && role !== 'replica') || match === null) {
		return undefined;
	}

	return {
		role,
		term: Number(term),
		received: {term: Number(match.groups?.['term']), position: BigInt(match.groups?.['number'] ?? 0)},
	};
}
