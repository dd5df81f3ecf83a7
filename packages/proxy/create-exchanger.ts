import {
	hashPrimaries, listConfirmations, listMemberUpdates, listPrimaries, type HostEvent, type HostState,
} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import type {ExchangeContent} from '@sapphirefall/hosts';
import {formatFleet, parseFleet} from '@sapphirefall/platform';
import type {FindPeer} from './find-peer.ts';

type Options = {
	readonly self: string;
	readonly readState: () => HostState;
	readonly dispatch: (event: HostEvent) => void;
	readonly findPeer: FindPeer;
	readonly clock: HybridClock;
	/** Milliseconds without the table after which an acceptor's word ends. */
	readonly wordSpan: number;
	readonly now: () => number;
};

type KnownPrimaries = {
	/** The groups from which the rest follows. */
	readonly groups: HostState['groups'];
	readonly primaries: ReturnType<typeof listPrimaries>;
	readonly digest: string;
};

type Exchanger = {
	/** Exchanges with another host; sends what it lacks in a second message. */
	readonly exchange: (id: string) => Promise<void>;
	/** Takes in what another host told and tells what it lacks. */
	readonly answer: (content: ExchangeContent) => ExchangeContent;
};

/** Creates what exchanges knowledge with other hosts: configuration, roster, primaries and liveness. */
export function createExchanger(options: Options): Exchanger {
	const {readState, now, clock} = options;

	let known: KnownPrimaries | undefined;

	/** Lists the primaries with their digest, anew only when the groups have changed. */
	const readPrimaries = (state: HostState): KnownPrimaries => {
		if (known?.groups !== state.groups) {
			const primaries = listPrimaries(state);
			known = {groups: state.groups, primaries, digest: hashPrimaries(primaries)};
		}

		return known;
	};

	const createContent = (other: ExchangeContent | undefined): ExchangeContent => {
		const state = readState();
		const {primaries, digest} = readPrimaries(state);
		const at = now();
		return {
			id: options.self,
			incarnation: state.membership.incarnation,
			configurationVersion: state.configuration.version,
			head: state.roster.head,
			tableAgeMs: at - state.tableConfirmedAt,
			configurationText: other !== undefined && other.head < state.roster.head ? formatFleet(state) : '',
			confirmations: listConfirmations(state, {maxTableAgeMs: options.wordSpan, now: at}).map(({id, confirmedAt: given}) => ({id, ageMs: at - given})),
			primariesDigest: digest,
			primaries: other !== undefined && other.primariesDigest !== digest ? primaries : [],
			memberUpdates: listMemberUpdates(state, at),
			time: clock.tick(),
		};
	};

	/** Takes in a content; ages count from `base`, the earliest time at which it can have been written. */
	const takeContent = (content: ExchangeContent, base: number) => {
		clock.observe(content.time);
		options.dispatch({
			kind: 'exchanged',
			id: content.id,
			incarnation: content.incarnation,
			version: content.configurationVersion,
			head: content.head,
			fleet: content.configurationText === '' ? undefined : parseFleet(content.configurationText),
			confirmations: content.confirmations.map(({id, ageMs}) => ({id, confirmedAt: base - ageMs})),
			confirmedAt: base - content.tableAgeMs,
			primaries: content.primaries,
			memberUpdates: content.memberUpdates,
		});
	};

	const isLacking = (content: ExchangeContent) => {
		const state = readState();
		return content.head < state.roster.head || content.primariesDigest !== readPrimaries(state).digest;
	};

	return {
		async exchange(id) {
			const peer = options.findPeer(id);
			if (peer === undefined) {
				return;
			}

			try {
				const firstAt = now();
				const content = await peer.exchange(createContent(undefined));
				takeContent(content, firstAt);
				if (isLacking(content) || content.head > readState().roster.head) {
					const secondAt = now();
					takeContent(await peer.exchange(createContent(content)), secondAt);
				}
			} catch {
				options.dispatch({kind: 'exchangeFailed', id});
			}
		},
		answer(content) {
			takeContent(content, -Infinity);
			return createContent(content);
		},
	};
}
