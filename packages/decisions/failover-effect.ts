/** An action that the failover of a group orders. `publishStep` goes to metrics, events and the log. */
export type FailoverEffect =
	| {readonly kind: 'askConfirmation'; readonly term: number}
	| {readonly kind: 'fence'; readonly instance: string; readonly term: number}
	| {readonly kind: 'promote'; readonly instance: string; readonly term: number}
	| {readonly kind: 'follow'; readonly instance: string; readonly term: number; readonly primary: string}
	| {readonly kind: 'publishStep'; readonly step: 'suspected' | 'agreed' | 'fenced' | 'promoted' | 'abandoned' | 'recovered'};
