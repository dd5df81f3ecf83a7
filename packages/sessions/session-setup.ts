import type {Statement} from './statement.ts';

/** What a session has set up, which holds on whatever connection its statements run. */
export type SessionSetup = {
	readonly variables: Map<string, string>;
	readonly prepared: Map<string, Extract<Statement, {readonly kind: 'prepare'}>['prepared']>;
};
