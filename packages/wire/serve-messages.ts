import {createQueue} from './create-queue.ts';

/**
 * Answers the messages of a stream concurrently. Each response is sent when it is ready, so a slow one delays no other.
 *
 * @param messages Incoming messages.
 * @param answer Answers a message; must not reject.
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
