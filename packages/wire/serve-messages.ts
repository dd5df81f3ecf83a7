import {createQueue} from './create-queue.ts';

/**
 * Serves the messages of a stream; each answer goes out when it is ready, and a slow one delays no other.
 *
 * @param messages What the other side sends.
 * @param answer What answers a message; must not reject.
 */
export async function * serveMessages<Request, Response>(
	messages: AsyncIterable<Request>,
	answer: (message: Request) => Promise<Response>,
): AsyncGenerator<Response> {
	const responses = createQueue<Response>();
	const running = new Set<Promise<void>>();

	const run = async (message: Request) => {
		responses.push(await answer(message));
	};

	const read = async () => {
		for await (const message of messages) {
			const task = run(message);
			running.add(task);
			void task.finally(() => running.delete(task)); // eslint-disable-line promise/prefer-await-to-then
		}

		await Promise.allSettled(running);
	};

	read().catch(() => undefined).finally(responses.end); // eslint-disable-line promise/prefer-await-to-then
	yield * responses;
}
