import type {StatementGate} from './statement-gate.ts';

/** The statements of this host at an instance, for its metrics. */
export type InstancePace = ReturnType<StatementGate['readLoad']> & {
	/** Id of the instance. */
	readonly instance: string;
};
