import type {DescService} from '@bufbuild/protobuf';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {openChannel, type Channel, type ChannelOptions} from '@sapphirefall/wire';

type Options<Service extends DescService, Request, Response> = Omit<ChannelOptions<Request, Response>, 'open' | 'onClosed'> & {
	/** Service of the other host that the channel calls. */
	readonly service: Service;
	/** Opens the stream of requests and responses. */
	readonly open: (client: Client<Service>, requests: AsyncIterable<Request>, signal: AbortSignal) => AsyncIterable<Response>;
};

/**
 * Creates a channel to another host. The first request opens it, and the first one after it was closed opens it again.
 *
 * @param address URL of the host.
 * @param options How to open the stream, heartbeat, idle timeout and clock.
 * @returns A function that sends a request on the channel.
 */
export function createHostChannel<Service extends DescService, Request, Response extends {readonly id: number}>(
	address: string,
	options: Options<Service, Request, Response>,
): Channel<Request, Response>['send'] {
	let channel: Channel<Request, Response> | undefined;

	const open = () => {
		const sessions = new Http2SessionManager(address);
		const client = createClient(options.service, createConnectTransport({
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
