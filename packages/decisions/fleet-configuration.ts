import type {Configuration} from './configuration.ts';
import type {Roster} from './roster.ts';

/** The state that all hosts of the fleet share through the platform's table. */
export type FleetConfiguration = {
	readonly configuration: Configuration;
	readonly roster: Roster;
};
