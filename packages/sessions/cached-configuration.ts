import type {SessionConfiguration} from './session-configuration.ts';
import type {Instant} from './instant.ts';

/** The newest configuration that a host knows, and the moment as of which it knows it to be the newest. */
export type CachedConfiguration = {
	readonly configuration: SessionConfiguration;
	readonly confirmedAt: Instant;
};
