/**
 * Runs a task with a signal that is aborted after a time, and not at all when the task ends before.
 *
 * @param timeout Milliseconds.
 * @param task What to run.
 */
export async function runWithTimeout<T>(timeout: number, task: (signal: AbortSignal) => Promise<T>): Promise<T> {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort();
	}, timeout);
	try {
		return await task(controller.signal);
	} finally {
		clearTimeout(timer);
	}
}
