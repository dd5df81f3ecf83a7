import type {InstanceReport} from './instance-report.ts';

/** An input of the failover of a group. */
export type FailoverEvent =
	/** A step of the control loop, by which timeouts are noticed. */
	| {readonly kind: 'tick'}
	/** A host in `zone` also suspects that the primary has failed. */
	| {readonly kind: 'confirmed'; readonly zone: string}
	/** An instance granted or refused `term`, and reported its state. */
	| {readonly kind: 'fenceAnswered'; readonly term: number; readonly isGranted: boolean; readonly report: InstanceReport}
	/** The chosen instance accepted or refused its promotion in `term`. */
	| {readonly kind: 'promoteAnswered'; readonly term: number; readonly isGranted: boolean};
