import type {LinkFault} from './link-fault.ts';

/** Conditions of a link that nothing disturbs. */
export const usualLinkFault: LinkFault = {
	delayMs: 0, jitterMs: 0, lossRate: 0, isPartitioned: false, heldBytes: undefined,
};
