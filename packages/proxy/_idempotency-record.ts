import type {SqlStatement} from '@sapphirefall/decisions';

/** Identifies the record of a write. The workspace is part of it, so that equal keys of two workspaces do not collide. */
type RecordId = {readonly workspace: string; readonly key: string};

type RecordStatements = {
	readonly prepare: SqlStatement;
	/** Inserts the record; changes no row when the key already has one. */
	readonly claim: (id: RecordId, options: {readonly fingerprint: string; readonly wallNow: number}) => SqlStatement;
	/** Stores the encoded results in the record. */
	readonly store: (id: RecordId, results: string) => SqlStatement;
	readonly select: (id: RecordId) => SqlStatement;
	/** Deletes the records created before a wall-clock time in milliseconds. */
	readonly expire: (before: number) => SqlStatement;
};

/**
 * SQL statements for idempotency records.
 *
 * The records are stored in the database that the request writes to, so that they are replicated, and truncated at a
 * failover, together with its writes.
 */
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
