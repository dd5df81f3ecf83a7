import type {PaceBounds} from './pace-bounds.ts';

type Options = {
	/** Statements that the instance runs concurrently. */
	readonly slots: number;
	/** Number of gateways of the instance; see `findGatewayCount`. */
	readonly gatewayCount: number;
};

/** Statements beyond the slots, which keep the instance busy while an answer and the next statement are on their way. */
const extraStatements = 1;

/**
 * Finds the bounds of a gateway's statements in progress. All gateways together have at most
 * `gatewayCount * (slots + 1)` in progress, apart from commits and statements that are overdue.
 */
export function findPaceBounds({slots, gatewayCount}: Options): PaceBounds {
	return {
		slots,
		share: Math.max(1, Math.ceil(slots / Math.max(1, gatewayCount))),
		ceiling: slots + extraStatements,
	};
}
