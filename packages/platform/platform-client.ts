import type {Group, Host} from '@sapphirefall/decisions';

/** A row of the platform's table; version 0 means that it is absent. */
type Row = {readonly version: number; readonly value: string};

/** What the platform offers. A call that gets no answer rejects; it may have taken effect. */
export type PlatformClient = {
	readonly readRow: (name: string) => Promise<Row>;
	/** Writes a row if its version is the expected one. */
	readonly writeRow: (name: string, next: {readonly expectedVersion: number; readonly value: string}) =>
	Promise<{readonly isWritten: boolean; readonly row: Row}>;
	readonly readObject: (name: string) => Promise<Uint8Array>;
	readonly writeObject: (name: string, body: Uint8Array) => Promise<void>;
	readonly listFleet: () => Promise<{readonly hosts: readonly Host[]; readonly groups: readonly Group[]}>;
};
