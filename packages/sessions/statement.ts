/** What a session asks for in one request. */
export type Statement =
	| {readonly kind: 'begin'; readonly isReadOnly: boolean}
	| {readonly kind: 'commit'}
	| {readonly kind: 'rollback'}
	| {readonly kind: 'read'}
	| {readonly kind: 'write'}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedStatement}
	/** Runs a prepared statement; the arguments are passed on as they are. */
	| {readonly kind: 'execute'; readonly name: string; readonly parameters: string}
	| {readonly kind: 'close'; readonly name: string};

/** What a prepared name stands for. */
type PreparedStatement = {
	readonly access: 'read' | 'write';
	readonly shape: string;
};
