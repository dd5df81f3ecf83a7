/** A durable record of an instance. The text of an `entry` record is the JSON form of a `LogEntry` message. */
export type JournalRecord =
	| {readonly kind: 'term'; readonly term: number; readonly owner: string; readonly role: string; readonly primary: string}
	| {readonly kind: 'entry'; readonly entry: string}
	| {readonly kind: 'truncate'; readonly length: number};
