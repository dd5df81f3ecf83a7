import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {
	HostService, openChannel, type Channel, type ChannelOptions,
} from '@sapphirefall/wire';

type Options<Request, Response> = Omit<ChannelOptions<Request, Response>, 'open' | 'onClosed'> & {
	/** Opens the stream. */
	readonly open: (client: Client<typeof HostService>, requests: AsyncIterable<Request>, signal: AbortSignal) => AsyncIterable<Response>;
};

/**
 * Creates a channel to another host that opens at the first request, and anew at the next one after it has closed.
 *
 * @param address URL of the host.
 * @param options How to open the stream, heartbeat times, and the clock.
 * @returns What sends a request on the channel.
 */
export function createHostChannel<Request, Response extends {readonly id: number}>(
	address: string,
	options: Options<Request, Response>,
): Channel<Request, Response>['send'] {
	let channel: Channel<Request, Response> | undefined;

	const open = () => {
		const sessions = new Http2SessionManager(address);
		const client = createClient(HostService, createConnectTransport({
			baseUrl: address, httpVersion: '2', sessionManager: sessions,
		}));
		return openChannel<Request, Response>({
			...options,
			open: (requests, signal) => options.open(client, requests, signal),
			onClosed() {
				sessions.abort();
			},
		});
	};

	return async (createRequest, sendOptions) => {
		if (channel?.isClosed() !== false) {
			channel = open();
		}

		return channel.send(createRequest, sendOptions);
	};
}
