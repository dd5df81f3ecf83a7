import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import type {InstanceReport} from '@sapphirefall/decisions';
import {
	createQueue, decodeReport, EndpointService, ProbeRequestSchema, type ProbeRequest,
} from '@sapphirefall/wire';
import type {Prober} from './prober.ts';

type Options = {
	/** Milliseconds without any answer after which the stream is opened anew. */
	readonly timeoutMs: number;
	readonly now: () => number;
	/** Called with each report and the monotonic milliseconds at which its probe was sent. */
	readonly onReport: (report: InstanceReport, sentAt: number) => void;
};

/** Probes that may await their answers at a time; more are not sent. */
const pendingLimit = 64;

/**
 * Opens a probe stream to an instance and keeps it open.
 *
 * A broken or silent stream is replaced at the next probe.
 *
 * @param address URL of the instance.
 * @param options When a stream counts as silent, the clock, and what to do with a report.
 */
export function openProber(address: string, options: Options): Prober {
	let stream: ReturnType<typeof openStream> | undefined;
	let isClosed = false;

	return {
		probe() {
			if (isClosed) {
				return;
			}

			if (stream?.isUsable(options.now()) !== true) {
				stream?.close();
				stream = openStream(address, options);
			}

			stream.send(options.now());
		},
		close() {
			isClosed = true;
			stream?.close();
		},
	};
}

function openStream(address: string, options: Options) {
	const sessions = new Http2SessionManager(address);
	const client = createClient(EndpointService, createConnectTransport({
		baseUrl: address, httpVersion: '2', sessionManager: sessions,
	}));
	const requests = createQueue<ProbeRequest>();
	const sentTimes = new Map<number, number>();
	const abort = new AbortController();
	let lastId = 0;
	let isEnded = false;

	const close = () => {
		isEnded = true;
		requests.end();
		abort.abort();
		sessions.abort();
	};

	const receive = async () => {
		try {
			for await (const message of client.probe(requests, {signal: abort.signal})) {
				const sentAt = sentTimes.get(message.id);
				for (const id of [...sentTimes.keys()].filter(id => id <= message.id)) {
					sentTimes.delete(id);
				}

				if (sentAt !== undefined) {
					options.onReport(decodeReport(message), sentAt);
				}
			}
		} catch {
			// The next probe opens a new stream.
		} finally {
			close();
		}
	};

	void receive();
	return {
		isUsable(now: number) {
			const [oldest] = sentTimes.values();
			return !isEnded && (oldest === undefined || now - oldest <= options.timeoutMs);
		},
		send(now: number) {
			if (sentTimes.size < pendingLimit) {
				lastId++;
				sentTimes.set(lastId, now);
				requests.push(create(ProbeRequestSchema, {id: lastId}));
			}
		},
		close,
	};
}
