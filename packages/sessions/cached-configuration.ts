import type {SessionConfiguration} from './session-configuration.ts';
import type {Instant} from './instant.ts';

/** Latest configuration that a host has received, and the moment as of which the store confirmed it as the latest. */
export type CachedConfiguration = {
	readonly configuration: SessionConfiguration;
	readonly confirmedAt: Instant;
};
