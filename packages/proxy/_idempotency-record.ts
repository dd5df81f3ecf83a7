import type {SqlStatement} from '@sapphirefall/decisions';

/** Names the record of a write; the workspace is part of the name, so that workspaces cannot meet. */
type RecordName = {readonly workspace: string; readonly key: string};

type RecordStatements = {
	readonly prepare: SqlStatement;
	/** Claims the key; changes no row when the key was claimed before. */
	readonly claim: (name: RecordName, options: {readonly fingerprint: string; readonly wallNow: number}) => SqlStatement;
	readonly store: (name: RecordName, results: string) => SqlStatement;
	readonly select: (name: RecordName) => SqlStatement;
	/** Deletes records that were created before a wall-clock time in milliseconds. */
	readonly expire: (before: number) => SqlStatement;
};

/** SQL of the idempotency records, which live beside the work and are replicated and truncated with it. */
export const recordStatements: RecordStatements = {
	prepare: {
		sql: 'CREATE TABLE IF NOT EXISTS sapphirefall_idempotency (workspace TEXT NOT NULL, key TEXT NOT NULL, '
			+ 'fingerprint TEXT NOT NULL, created_at BIGINT NOT NULL, result TEXT, PRIMARY KEY (workspace, key))',
		parameters: [],
	},
	claim: ({workspace, key}, {fingerprint, wallNow}) => ({
		sql: 'INSERT INTO sapphirefall_idempotency (workspace, key, fingerprint, created_at) VALUES (?, ?, ?, ?) ON CONFLICT DO NOTHING',
		parameters: [workspace, key, fingerprint, Math.trunc(wallNow)],
	}),
	store: ({workspace, key}, results) => ({
		sql: 'UPDATE sapphirefall_idempotency SET result = ? WHERE workspace = ? AND key = ?',
		parameters: [results, workspace, key],
	}),
	select: ({workspace, key}) => ({
		sql: 'SELECT fingerprint, result FROM sapphirefall_idempotency WHERE workspace = ? AND key = ?',
		parameters: [workspace, key],
	}),
	expire: before => ({
		sql: 'DELETE FROM sapphirefall_idempotency WHERE created_at < ?',
		parameters: [Math.trunc(before)],
	}),
};
