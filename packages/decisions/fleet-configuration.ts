import type {Configuration} from './configuration.ts';
import type {Roster} from './roster.ts';

/** What all hosts of the fleet agree on through the platform's table. */
export type FleetConfiguration = {
	readonly configuration: Configuration;
	readonly roster: Roster;
};
