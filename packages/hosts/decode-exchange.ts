import type {ExchangeMessage} from '@sapphirefall/wire';
import type {ExchangeContent} from './exchange-content.ts';

/** Decodes what another host tells. */
export function decodeExchange(message: ExchangeMessage): ExchangeContent {
	return {
		id: message.host,
		incarnation: Number(message.incarnation),
		version: message.configVersion,
		age: message.configAgeMs,
		fleet: message.configBody,
		head: message.head,
		statements: message.statements.map(({host, ageMs}) => ({id: host, age: ageMs})),
		digest: message.viewDigest,
		primaries: message.views.map(({database, term, instance}) => ({database, term, instance})),
		news: message.news.map(({host, incarnation, alive}) => ({id: host, incarnation: Number(incarnation), isAlive: alive})),
		time: message.time,
	};
}
