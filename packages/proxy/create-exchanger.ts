import {
	hashPrimaries, listConfirmations, listMemberUpdates, listPrimaries, type HostEvent, type HostState,
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
	/** Milliseconds since an acceptor last read the table, after which it no longer confirms its configuration. */
	readonly maxTableAgeMs: number;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

type PrimaryList = {
	/** Groups of the state from which the list was computed. */
	readonly groups: HostState['groups'];
	readonly primaries: ReturnType<typeof listPrimaries>;
	readonly digest: string;
};

type Exchanger = {
	/** Exchanges state with another host; when either host lacks something, a second exchange carries it. */
	readonly exchange: (id: string) => Promise<void>;
	/** Applies the message of another host and returns what that host lacks. */
	readonly answer: (content: ExchangeContent) => ExchangeContent;
};

/** Creates the exchanger, which gossips configuration, roster, primaries and liveness with other hosts. */
export function createExchanger(options: Options): Exchanger {
	const {readState, now, clock} = options;

	let cached: PrimaryList | undefined;

	/** Lists the primaries with their digest; computes both only when the groups have changed. */
	const readPrimaries = (state: HostState): PrimaryList => {
		if (cached?.groups !== state.groups) {
			const primaries = listPrimaries(state);
			cached = {groups: state.groups, primaries, digest: hashPrimaries(primaries)};
		}

		return cached;
	};

	/** Creates a message; with the other host's message, it holds the configuration and primaries that the other lacks. */
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
			configurationText: other !== undefined && other.head < state.roster.head ? formatFleetConfiguration(state) : '',
			confirmations: listConfirmations(state, {maxTableAgeMs: options.maxTableAgeMs, now: at}).map(({id, confirmedAt}) => ({id, ageMs: at - confirmedAt})),
			primariesDigest: digest,
			primaries: other !== undefined && other.primariesDigest !== digest ? primaries : [],
			memberUpdates: listMemberUpdates(state, at),
			time: clock.tick(),
		};
	};

	/**
	 * Applies a message.
	 *
	 * @param base Earliest monotonic time at which the message can have been written; its ages are subtracted from it.
	 */
	const applyContent = (content: ExchangeContent, base: number) => {
		clock.observe(content.time);
		options.dispatch({
			kind: 'exchanged',
			id: content.id,
			incarnation: content.incarnation,
			version: content.configurationVersion,
			head: content.head,
			fleet: content.configurationText === '' ? undefined : parseFleetConfiguration(content.configurationText),
			confirmations: content.confirmations.map(({id, ageMs}) => ({id, confirmedAt: base - ageMs})),
			confirmedAt: base - content.tableAgeMs,
			primaries: content.primaries,
			memberUpdates: content.memberUpdates,
		});
	};

	/** Whether the other host lacks the newest configuration or knows other primaries. */
	const isBehind = (content: ExchangeContent) => {
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
				const firstSentAt = now();
				const content = await peer.exchange(createContent(undefined));
				applyContent(content, firstSentAt);
				if (isBehind(content) || content.head > readState().roster.head) {
					const secondSentAt = now();
					applyContent(await peer.exchange(createContent(content)), secondSentAt);
				}
			} catch {
				options.dispatch({kind: 'exchangeFailed', id});
			}
		},
		answer(content) {
			applyContent(content, -Infinity);
			return createContent(content);
		},
	};
}
