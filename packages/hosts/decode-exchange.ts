import type {ExchangeMessage} from '@sapphirefall/wire';
import type {ExchangeContent} from './exchange-content.ts';

/** Decodes the state that another host sends in an exchange. */
export function decodeExchange(message: ExchangeMessage): ExchangeContent {
	return {
		id: message.host,
		incarnation: Number(message.incarnation),
		configurationVersion: message.configVersion,
		tableAgeMs: message.configAgeMs,
		configurationText: message.configBody,
		head: message.head,
		confirmations: message.statements.map(({host, ageMs}) => ({id: host, ageMs})),
		primariesDigest: message.viewDigest,
		primaries: message.views.map(({database, term, instance}) => ({database, term, instance})),
		memberUpdates: message.news.map(({host, incarnation, alive}) => ({id: host, incarnation: Number(incarnation), isAlive: alive})),
		time: message.time,
	};
}
