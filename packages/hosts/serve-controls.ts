import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
	ControlResponseSchema, createQueue, type ControlRequest, type ControlResponse,
} from '@sapphirefall/wire';

type ControlAnswer = NonNullable<MessageInitShape<typeof ControlResponseSchema>['answer']>;

/**
 * Serves the calls of another host; each answer goes out when it is ready, and a call that fails gets an empty one.
 *
 * @param messages What the other host sends.
 * @param answerCall What answers a call.
 */
export async function * serveControls(
	messages: AsyncIterable<ControlRequest>,
	answerCall: (call: ControlRequest['call']) => Promise<ControlAnswer>,
): AsyncGenerator<ControlResponse> {
	const responses = createQueue<ControlResponse>();

	const run = async ({id, call}: ControlRequest) => {
		try {
			responses.push(create(ControlResponseSchema, {id, answer: await answerCall(call)}));
		} catch {
			responses.push(create(ControlResponseSchema, {id}));
		}
	};

	const read = async () => {
		for await (const message of messages) {
			void run(message);
		}
	};

	read().catch(() => undefined).finally(responses.end); // eslint-disable-line promise/prefer-await-to-then
	yield * responses;
}
