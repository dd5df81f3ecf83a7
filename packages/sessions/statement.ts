/** A parsed statement of a caller. */
export type Statement =
	| {readonly kind: 'begin'; readonly isReadOnly: boolean}
	| {readonly kind: 'commit'}
	| {readonly kind: 'rollback'}
	| {readonly kind: 'read'}
	| {readonly kind: 'write'}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedStatement}
	/** Executes a prepared statement; `parameters` is forwarded unchanged. */
	| {readonly kind: 'execute'; readonly name: string; readonly parameters: string}
	| {readonly kind: 'close'; readonly name: string};

/** The statement behind a prepared name. */
type PreparedStatement = {
	readonly access: 'read' | 'write';
	readonly shape: string;
};
