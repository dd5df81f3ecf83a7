/** An action that the failover of a group orders. `publishStep` goes to metrics, events and the log. */
export type FailoverEffect =
	/** Asks hosts whether they also suspect that the primary of the term has failed. */
	| {readonly kind: 'askConfirmation'; readonly term: number}
	/** Asks an instance to grant the term and to refuse all lower ones. */
	| {readonly kind: 'fence'; readonly instance: string; readonly term: number}
	| {readonly kind: 'promote'; readonly instance: string; readonly term: number}
	/** Orders an instance to replicate from the primary of the term. */
	| {readonly kind: 'follow'; readonly instance: string; readonly term: number; readonly primary: string}
	| {readonly kind: 'publishStep'; readonly step: 'suspected' | 'agreed' | 'fenced' | 'promoted' | 'abandoned' | 'recovered'};
