/** An unbounded queue that callbacks write to and one asynchronous reader consumes. */
type Queue<T> = AsyncIterable<T> & {
	/** Adds an item; does nothing after `end`. */
	readonly push: (item: T) => void;
	/** Ends the queue; the reader still receives the remaining items. */
	readonly end: () => void;
};

/**
 * Creates a queue that turns pushed items into an asynchronous iterable, such as the outgoing messages of a stream.
 *
 * @example
 * const queue = createQueue<number>();
 * queue.push(1);
 * queue.end();
 */
export function createQueue<T>(): Queue<T> {
	const items: T[] = [];
	let isEnded = false;
	let wake: (() => void) | undefined;

	const wakeReader = () => {
		wake?.();
		wake = undefined;
	};

	return {
		push(item) {
			if (!isEnded) {
				items.push(item);
				wakeReader();
			}
		},
		end() {
			isEnded = true;
			wakeReader();
		},
		async * [Symbol.asyncIterator]() {
			for (;;) {
				const item = items.shift();
				if (item !== undefined) {
					yield item;
				} else if (isEnded) {
					return;
				} else {
					// eslint-disable-next-line no-await-in-loop, @typescript-eslint/no-loop-func -- the reader takes one item at a time
					await new Promise<void>(resolve => {
						wake = resolve;
					});
				}
			}
		},
	};
}
