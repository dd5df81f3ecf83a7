import type {SoakMessage} from './soak-message.ts';
import type {SoakSession} from './soak-session.ts';

/** A write of a soak and what its client knows of it. */
export type SoakWrite = {
	readonly item: string;
	readonly session: SoakSession;
	readonly message: SoakMessage;
	/** `kept` if it was acknowledged, `dropped` if the client was told or knows that it has no effect, else `unknown`. */
	readonly fate: 'kept' | 'dropped' | 'unknown';
	/** When the client learned this, in milliseconds of the steady clock. */
	readonly knownAt: number;
	/** The answer that tells it. */
	readonly told: string;
};
