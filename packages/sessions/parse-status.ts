import type {InstanceStatus} from './instance-status.ts';

/** Parses the status row of an instance, `<role> <newest term> <term>.<number>`; undefined when it is malformed. */
export function parseStatus(row: string): InstanceStatus | undefined {
	const match = /^(?<role>primary|replica) (?<newest>\d{1,15}) (?<term>\d{1,15})\.(?<number>\d{1,18})(?: |$)/v.exec(row);
	const {role, newest, term, number = '0'} = match?.groups ?? {};
	return role === 'primary' || role === 'replica'
		? {role, term: Number(newest), received: {term: Number(term), position: BigInt(number)}}
		: undefined;
}
