import type {Instant} from './instant.ts';

type Options = {
	/** Whether a rate allocator is known. */
	readonly hasAllocator: () => boolean;
	/** Requests operations of a workspace from the rate allocator; resolves to whether an operation may run now. */
	readonly requestTokens: (workspace: string, needed: number) => Promise<boolean>;
	readonly now: () => Instant;
};

/** Queue of callers that wait for an operation from the rate allocator's pool. */
type TokenQueue = {
	/** Waits until the rate allocator has answered a request that includes the caller, or returns immediately while none may be sent. */
	readonly wait: (workspace: string) => Promise<void>;
	/** Whether the rate allocator's pool was empty at the last request, less than `emptyPoolBackoffMs` ago. */
	readonly isPoolEmpty: (workspace: string) => boolean;
};

/** Milliseconds to wait before the next request after one that found the pool empty. */
const emptyPoolBackoffMs = 60;

/**
 * Creates the queue of callers for whom operations are requested from the rate allocator.
 *
 * At most one request per workspace is pending. It asks for exactly as many operations as there are waiting callers,
 * because a host could accumulate surplus operations beyond the rate bound.
 */
export function createTokenQueue({hasAllocator, requestTokens, now}: Options): TokenQueue {
	/** Pending requests, by workspace. */
	const pending = new Map<string, Promise<unknown>>();
	/** Number of callers that wait for the next request, by workspace. */
	const waiting = new Map<string, number>();
	/** End of the backoff after an empty pool, in milliseconds of the steady clock, by workspace. */
	const backoffUntil = new Map<string, number>();

	const isPoolEmpty = (workspace: string) => (backoffUntil.get(workspace) ?? 0) > now().steady;

	return {
		isPoolEmpty,
		async wait(workspace) {
			if (!hasAllocator() || isPoolEmpty(workspace)) {
				return;
			}

			waiting.set(workspace, (waiting.get(workspace) ?? 0) + 1);
			await pending.get(workspace);
			if (pending.has(workspace)) {
				await pending.get(workspace);
				return;
			}

			const needed = isPoolEmpty(workspace) ? 0 : waiting.get(workspace) ?? 0;
			waiting.delete(workspace);
			if (needed === 0 || !hasAllocator()) {
				return;
			}

			const request = requestTokens(workspace, needed);
			pending.set(workspace, request);
			const hasTokens = await request;
			pending.delete(workspace);
			if (!hasTokens) {
				backoffUntil.set(workspace, now().steady + emptyPoolBackoffMs);
			}
		},
	};
}
