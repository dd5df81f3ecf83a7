import type {Declaration} from './declaration.ts';
import type {Freshness} from './freshness.ts';

/** A change that an operator can make to the configuration. */
export type Change =
	| {
		readonly kind: 'setWorkspace';
		readonly workspace: string;
		/** Units per second, over the whole fleet. */
		readonly rate: number;
		/** Units that the workspace may use at once after it has been idle. */
		readonly burst: number;
		readonly databases: readonly string[];
	}
	| {readonly kind: 'removeWorkspace'; readonly workspace: string}
	| {readonly kind: 'addKey'; readonly workspace: string; readonly keyId: string; readonly digest: string}
	| {readonly kind: 'withdrawKey'; readonly keyId: string}
	| {readonly kind: 'setFreshness'; readonly readKind: string; readonly freshness: Freshness}
	| {
		readonly kind: 'setException';
		readonly workspace: string;
		readonly readKind: string;
		readonly freshness: Freshness;
		readonly reason: string;
	}
	| {
		readonly kind: 'setRoute';
		readonly route: string;
		readonly workspace: string;
		readonly database: string;
		readonly sql: string;
		readonly freshness: Freshness;
	}
	| {readonly kind: 'declare'; readonly declaration: Declaration};
