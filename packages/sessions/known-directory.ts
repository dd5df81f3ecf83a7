import type {Directory} from './directory.ts';
import type {Instant} from './instant.ts';

/** The newest configuration that a host knows, and the moment as of which it knows it to be the newest. */
export type KnownDirectory = {
	readonly directory: Directory;
	readonly provenAt: Instant;
};
