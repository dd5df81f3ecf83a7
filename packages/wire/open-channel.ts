import {createQueue} from './create-queue.ts';
import type {ChannelOptions} from './channel-options.ts';
import type {Channel} from './channel.ts';
import type {Heartbeat} from './heartbeat.ts';

/**
 * Opens a channel on a stream. Answers to requests that are no longer pending are dropped.
 *
 * The channel closes when the stream ends or fails, when no answer arrives within the heartbeat's timeout, and when no
 * request is pending and none was sent within the idle timeout.
 */
export function openChannel<Request, Response extends {readonly id: number}>(options: ChannelOptions<Request, Response>): Channel<Request, Response> {
	const requests = createQueue<Request>();
	const pending = new Map<number, (response: Response | undefined) => void>();
	const abort = new AbortController();
	let lastId = 0;
	let lastAnswerAt = options.now();
	let lastRequestAt = options.now();
	let isClosed = false;

	const close = () => {
		if (isClosed) {
			return;
		}

		isClosed = true;
		clearInterval(heartbeatTimer);
		clearInterval(idleTimer);
		requests.end();
		abort.abort();
		for (const resolve of pending.values()) {
			resolve(undefined);
		}

		pending.clear();
		options.onClosed();
	};

	const sendHeartbeat = ({createPing, timeoutMs}: Heartbeat<Request>) => {
		if (options.now() - lastAnswerAt > timeoutMs) {
			close();
		} else {
			lastId++;
			requests.push(createPing(lastId));
		}
	};

	const {heartbeat, idleTimeoutMs} = options;
	const heartbeatTimer = heartbeat && setInterval(sendHeartbeat, heartbeat.intervalMs, heartbeat);
	const idleTimer = idleTimeoutMs === undefined
		? undefined
		: setInterval(() => {
			if (pending.size === 0 && options.now() - lastRequestAt > idleTimeoutMs) {
				close();
			}
		}, idleTimeoutMs);

	const receive = async () => {
		try {
			for await (const response of options.open(requests, abort.signal)) {
				lastAnswerAt = options.now();
				pending.get(response.id)?.(response);
				pending.delete(response.id);
			}
		} catch {
			// Closing the channel below resolves all pending requests.
		} finally {
			close();
		}
	};

	void receive();
	return {
		async send(create, {signal, closesOnAbort}) {
			if (signal?.aborted === true && closesOnAbort) {
				close();
			}

			if (isClosed || signal?.aborted === true) {
				return undefined;
			}

			lastId++;
			lastRequestAt = options.now();
			const id = lastId;
			return new Promise(resolve => {
				const cancel = () => {
					if (closesOnAbort) {
						close();
					} else {
						pending.get(id)?.(undefined);
						pending.delete(id);
					}
				};

				pending.set(id, response => {
					signal?.removeEventListener('abort', cancel);
					resolve(response);
				});
				signal?.addEventListener('abort', cancel, {once: true});
				requests.push(create(id));
			});
		},
		close,
		isClosed: () => isClosed,
	};
}
