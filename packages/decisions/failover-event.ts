import type {InstanceReport} from './instance-report.ts';

/** An input of the failover of a group. */
export type FailoverEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'confirmed'; readonly zone: string}
	| {readonly kind: 'fenceAnswered'; readonly term: number; readonly isGranted: boolean; readonly report: InstanceReport}
	| {readonly kind: 'promoteAnswered'; readonly term: number; readonly isGranted: boolean};
