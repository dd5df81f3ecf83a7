import {
	hashPrimaries, listNews, listPrimaries, listStatements, type HostEvent, type HostState,
} from '@sapphirefall/decisions';
import type {HybridClock} from '@sapphirefall/events';
import type {ExchangeContent} from '@sapphirefall/hosts';
import {formatFleetConfiguration, parseFleetConfiguration} from '@sapphirefall/platform';
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
			version: state.configuration.version,
			head: state.roster.head,
			age: at - state.provenAt,
			fleet: other !== undefined && other.head < state.roster.head ? formatFleetConfiguration(state) : '',
			statements: listStatements(state, {span: options.wordSpan, now: at}).map(({id, at: given}) => ({id, age: at - given})),
			digest,
			primaries: other !== undefined && other.digest !== digest ? primaries : [],
			news: listNews(state, at),
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
			version: content.version,
			head: content.head,
			fleet: content.fleet === '' ? undefined : parseFleetConfiguration(content.fleet),
			statements: content.statements.map(({id, age}) => ({id, at: base - age})),
			provenAt: base - content.age,
			primaries: content.primaries,
			news: content.news,
		});
	};

	const isLacking = (content: ExchangeContent) => {
		const state = readState();
		return content.head < state.roster.head || content.digest !== readPrimaries(state).digest;
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
