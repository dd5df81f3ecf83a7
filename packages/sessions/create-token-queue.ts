import type {Instant} from './instant.ts';

type Options = {
	/** Whether there is a home that may be asked. */
	readonly hasHome: () => boolean;
	/** Asks the home for operations of a workspace; true when some came. */
	readonly ask: (workspace: string, needed: number) => Promise<boolean>;
	readonly now: () => Instant;
};

/** Callers who wait for an operation that the home gives at once. */
type TokenQueue = {
	/** Waits until the home was asked on behalf of a caller. */
	readonly wait: (workspace: string) => Promise<void>;
	/** Whether the home had nothing left a moment ago. */
	readonly isPoolEmpty: (workspace: string) => boolean;
};

/** Milliseconds for which the home is not asked again when it had nothing left. */
const poolPause = 60;

/**
 * Creates the queue of callers for whom the home is asked for an operation.
 *
 * One question is under way at a time for a workspace; it asks for exactly as many operations as callers wait, so that
 * none is left over that a host would save up beyond the bound.
 */
export function createTokenQueue({hasHome, ask, now}: Options): TokenQueue {
	/** Questions that are under way, by workspace. */
	const asking = new Map<string, Promise<unknown>>();
	/** Callers who wait for the next question, by workspace. */
	const waiting = new Map<string, number>();
	/** Until when the home is not asked, in steady milliseconds, by workspace. */
	const emptyUntil = new Map<string, number>();

	const isPoolEmpty = (workspace: string) => (emptyUntil.get(workspace) ?? 0) > now().steady;

	return {
		isPoolEmpty,
		async wait(workspace) {
			if (!hasHome() || isPoolEmpty(workspace)) {
				return;
			}

			waiting.set(workspace, (waiting.get(workspace) ?? 0) + 1);
			await asking.get(workspace);
			if (asking.has(workspace)) {
				await asking.get(workspace);
				return;
			}

			const needed = isPoolEmpty(workspace) ? 0 : waiting.get(workspace) ?? 0;
			waiting.delete(workspace);
			if (needed === 0 || !hasHome()) {
				return;
			}

			const asked = ask(workspace, needed);
			asking.set(workspace, asked);
			const hasSome = await asked;
			asking.delete(workspace);
			if (!hasSome) {
				emptyUntil.set(workspace, now().steady + poolPause);
			}
		},
	};
}
