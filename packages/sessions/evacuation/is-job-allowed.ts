import type {Job} from '../job.ts';
import type {ZonePhase} from './zone-phase.ts';

type Options = {
	/** Phase of the zone of the instance that the job is for. */
	readonly phase: ZonePhase;
	/** Whether the instance is the primary of its group, which other hosts go on using until it is replaced. */
	readonly isPrimary: boolean;
};

/** Checks whether a job may be sent to an instance, by the evacuation of its zone. */
export function isJobAllowed(kind: Job['kind'], {phase, isPrimary}: Options): boolean {
	switch (phase) {
		case 'open': {
			return true;
		}

		case 'leaving': {
			return isPrimary || kind === 'within' || kind === 'commit' || kind === 'rollback';
		}

		case 'ending': {
			return kind === 'rollback';
		}

		case 'closed': {
			return false;
		}
	}
}
