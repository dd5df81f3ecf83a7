import type {ServiceImpl} from '@connectrpc/connect';
import type {HostService} from '@sapphirefall/wire';
import {decodeExchange} from './decode-exchange.ts';
import {encodeExchange} from './encode-exchange.ts';
import type {ExchangeContent} from './exchange-content.ts';

type Options = {
	/** Takes in what another host told and tells what it lacks. */
	readonly exchange: (content: ExchangeContent) => ExchangeContent;
	readonly confirm: (database: string, term: number) => boolean;
};

/** Creates the service that other entry hosts use. */
export function createHostService(options: Options): Pick<ServiceImpl<typeof HostService>, 'exchange' | 'confirm'> {
	return {
		exchange: message => encodeExchange(options.exchange(decodeExchange(message))),
		confirm: ({database, term}) => ({suspected: options.confirm(database, term)}),
	};
}
