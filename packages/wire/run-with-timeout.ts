/**
 * Runs a task with a signal that is aborted after a timeout. The signal is not aborted once the task has ended.
 *
 * @param timeoutMs Milliseconds until the signal is aborted.
 * @param task The task to run.
 */
export async function runWithTimeout<T>(timeoutMs: number, task: (signal: AbortSignal) => Promise<T>): Promise<T> {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort();
	}, timeoutMs);
	try {
		return await task(controller.signal);
	} finally {
		clearTimeout(timer);
	}
}
