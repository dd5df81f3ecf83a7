import {create} from '@bufbuild/protobuf';
import {ExchangeMessageSchema, type ExchangeMessage} from '@sapphirefall/wire';
import type {ExchangeContent} from './exchange-content.ts';

const longestAge = 0xFF_FF_FF_FF;

/** Encodes what one host tells another. */
export function encodeExchange(content: ExchangeContent): ExchangeMessage {
	return create(ExchangeMessageSchema, {
		host: content.id,
		incarnation: BigInt(content.incarnation),
		time: content.time,
		configVersion: content.version,
		configAgeMs: Math.min(longestAge, Math.ceil(content.age)),
		configBody: content.fleet,
		head: content.head,
		statements: content.statements.map(({id, age}) => ({host: id, ageMs: Math.min(longestAge, Math.ceil(age))})),
		viewDigest: content.digest,
		views: content.primaries.map(primary => ({...primary})),
		news: content.news.map(({id, incarnation, isAlive}) => ({host: id, incarnation: BigInt(incarnation), alive: isAlive})),
	});
}
