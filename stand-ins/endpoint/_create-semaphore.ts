import type {Semaphore} from './_semaphore.ts';

/** Creates a semaphore with a number of places. */
export function createSemaphore(places: number): Semaphore {
	let free = places;
	const waiting: Array<(isEntered: boolean) => void> = [];
	return {
		async acquire(timeout) {
			if (free > 0) {
				free--;
				return true;
			}

			return new Promise(resolve => {
				const admit = (isEntered: boolean) => {
					clearTimeout(timer);
					resolve(isEntered);
				};

				const timer = setTimeout(() => {
					waiting.splice(waiting.indexOf(admit), 1);
					resolve(false);
				}, timeout);
				waiting.push(admit);
			});
		},
		release() {
			const next = waiting.shift();
			if (next === undefined) {
				free++;
			} else {
				next(true);
			}
		},
	};
}
