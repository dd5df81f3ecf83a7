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
		configVersion: content.configurationVersion,
		configAgeMs: Math.min(longestAge, Math.ceil(content.tableAgeMs)),
		configBody: content.configurationText,
		head: content.head,
		statements: content.confirmations.map(({id, ageMs}) => ({host: id, ageMs: Math.min(longestAge, Math.ceil(ageMs))})),
		viewDigest: content.primariesDigest,
		views: content.primaries.map(primary => ({...primary})),
		news: content.memberUpdates.map(({id, incarnation, isAlive}) => ({host: id, incarnation: BigInt(incarnation), alive: isAlive})),
	});
}
