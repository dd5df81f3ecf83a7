import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import type {InstanceReport} from '@sapphirefall/decisions';
import {
	createQueue, decodeReport, EndpointService, ProbeRequestSchema, type ProbeRequest,
} from '@sapphirefall/wire';
import type {Prober} from './prober.ts';

type Options = {
	/** Milliseconds that a probe may stay unanswered before the stream is replaced. */
	readonly timeoutMs: number;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Called with each report and the time at which its probe was sent, in monotonic milliseconds. */
	readonly onReport: (report: InstanceReport, sentAt: number) => void;
};

/** Maximum number of unanswered probes on a stream. Further probes are skipped. */
const maxPendingProbes = 64;

/**
 * Opens a prober of an instance.
 *
 * The first probe opens the stream. The next probe replaces a stream that failed or timed out.
 *
 * @param address URL of the instance.
 * @param options Timeout of a probe, the clock, and the callback for reports.
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
	let isStreamClosed = false;

	const close = () => {
		isStreamClosed = true;
		requests.end();
		abort.abort();
		sessions.abort();
	};

	const receiveReports = async () => {
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

	void receiveReports();
	return {
		isUsable(now: number) {
			const [oldest] = sentTimes.values();
			return !isStreamClosed && (oldest === undefined || now - oldest <= options.timeoutMs);
		},
		send(now: number) {
			if (sentTimes.size < maxPendingProbes) {
				lastId++;
				sentTimes.set(lastId, now);
				requests.push(create(ProbeRequestSchema, {id: lastId}));
			}
		},
		close,
	};
}
