import {create} from '@bufbuild/protobuf';
import {ExchangeMessageSchema, type ExchangeMessage} from '@sapphirefall/wire';
import type {ExchangeContent} from './exchange-content.ts';

/** Longest age in milliseconds that fits the 32 bits of the field. */
const maxAgeMs = 0xFF_FF_FF_FF;

/** Encodes the state that a host sends to another in an exchange. Ages are rounded up and capped at the longest one that fits. */
export function encodeExchange(content: ExchangeContent): ExchangeMessage {
	return create(ExchangeMessageSchema, {
		host: content.id,
		incarnation: BigInt(content.incarnation),
		time: content.time,
		configVersion: content.configurationVersion,
		configAgeMs: Math.min(maxAgeMs, Math.ceil(content.tableAgeMs)),
		configBody: content.configurationText,
		head: content.head,
		statements: content.confirmations.map(({id, ageMs}) => ({host: id, ageMs: Math.min(maxAgeMs, Math.ceil(ageMs))})),
		viewDigest: content.primariesDigest,
		views: content.primaries.map(primary => ({...primary})),
		news: content.memberUpdates.map(({id, incarnation, isAlive}) => ({host: id, incarnation: BigInt(incarnation), alive: isAlive})),
	});
}
