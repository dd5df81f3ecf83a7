import type {InstanceReport} from './instance-report.ts';

/** What moves a watcher's failover on. */
export type FailoverEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'confirmed'; readonly zone: string}
	| {readonly kind: 'fenceAnswered'; readonly term: number; readonly isGranted: boolean; readonly report: InstanceReport}
	| {readonly kind: 'promoteAnswered'; readonly term: number; readonly isGranted: boolean};
