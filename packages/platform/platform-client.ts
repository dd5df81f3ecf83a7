import type {Group, Host} from '@sapphirefall/decisions';

/** A row of the platform's table. Version 0 means that the row is absent. */
type Row = {readonly version: number; readonly value: string};

/** Client of the platform. A call rejects when no answer arrives; it may have taken effect. */
export type PlatformClient = {
	readonly readRow: (name: string) => Promise<Row>;
	/** Writes a row if it has the expected version. `isWritten` tells whether it had. */
	readonly writeRow: (name: string, next: {readonly expectedVersion: number; readonly value: string}) =>
	Promise<{readonly isWritten: boolean; readonly row: Row}>;
	readonly readObject: (name: string) => Promise<Uint8Array>;
	readonly writeObject: (name: string, body: Uint8Array) => Promise<void>;
	readonly listFleet: () => Promise<{readonly hosts: readonly Host[]; readonly groups: readonly Group[]}>;
};
