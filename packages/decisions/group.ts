import type {Instance} from './instance.ts';

/** A database group: a primary and its replicas, by instance. */
export type Group = {
	readonly database: string;
	readonly instances: readonly Instance[];
};
