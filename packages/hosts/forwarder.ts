import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';

/** Sends admitted requests to one other host over one channel. */
export type Forwarder = {
	/** Resolves to undefined when the answer was lost; the request may have run. */
	readonly forward: (request: AdmittedRequest, signal: AbortSignal) => Promise<Answer | undefined>;
	readonly close: () => void;
};
