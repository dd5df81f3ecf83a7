/** One durable record of an instance; a log entry is the JSON form of its message. */
export type JournalRecord =
	| {readonly kind: 'term'; readonly term: number; readonly owner: string; readonly role: string; readonly primary: string}
	| {readonly kind: 'entry'; readonly entry: string}
	| {readonly kind: 'truncate'; readonly length: number};
