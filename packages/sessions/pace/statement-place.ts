import type {PaceObservation} from './pace-observation.ts';

/** The place of a statement in progress. */
export type StatementPlace = {
	/** Gives the place back, with what the end of the statement says about the instance. Further calls have no effect. */
	readonly leave: (observation: PaceObservation) => void;
};
