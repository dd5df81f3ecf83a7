import type {SoakMessage} from './soak-message.ts';
import type {SoakSession} from './soak-session.ts';

/** Something that a soak saw and that must not happen. */
export type SoakFinding = {
	readonly rule: string;
	readonly what: string;
	readonly session?: SoakSession;
	readonly message?: SoakMessage;
};
