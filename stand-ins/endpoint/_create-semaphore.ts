import type {Semaphore} from './_semaphore.ts';

/** Creates a semaphore with this number of permits. */
export function createSemaphore(permits: number): Semaphore {
	let freePermits = permits;
	const waiters: Array<(isAcquired: boolean) => void> = [];
	return {
		async acquire(timeoutMs) {
			if (freePermits > 0) {
				freePermits--;
				return true;
			}

			return new Promise(resolve => {
				const settle = (isAcquired: boolean) => {
					clearTimeout(timer);
					resolve(isAcquired);
				};

				const timer = setTimeout(() => {
					waiters.splice(waiters.indexOf(settle), 1);
					resolve(false);
				}, timeoutMs);
				waiters.push(settle);
			});
		},
		release() {
			const next = waiters.shift();
			if (next === undefined) {
				freePermits++;
			} else {
				next(true);
			}
		},
	};
}
