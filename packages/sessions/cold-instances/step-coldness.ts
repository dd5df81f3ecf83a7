import type {Coldness} from './coldness.ts';

/** What tells of a start of an instance. */
type ColdnessEvent =
	/** The platform lists the instance; `warmupMs` are the milliseconds for which it said that it is still cold. */
	| {readonly kind: 'listed'; readonly warmupMs: number; readonly born: number | undefined; readonly seq: number | undefined}
	/** The instance accepted a connection after the host had lost it. */
	| {readonly kind: 'reconnected'};

type Options = {
	/** Milliseconds for which an instance is cold after its start. */
	readonly span: number;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Milliseconds after which an entry of the list that has just arrived was written after the instance accepted a connection. */
const listDelayMs = 3000;

/** Applies an event to what a host knows of the caches of an instance; undefined stands for a host that has just begun to use it. */
export function stepColdness(known: Coldness | undefined, event: ColdnessEvent, options: Options): Coldness {
	const state = known ?? {
		coldUntil: Number.NEGATIVE_INFINITY, born: undefined, seq: undefined, suspectedAt: undefined,
	};
	const {span, now} = options;
	if (event.kind === 'reconnected') {
		return {...state, coldUntil: Math.max(state.coldUntil, now + span), suspectedAt: now};
	}

	const {warmupMs, born, seq} = event;
	if (known !== undefined && born === state.born && seq === state.seq) {
		return state;
	}

	const listed = {...state, born, seq};
	if (hasStartedAgain(state, event)) {
		return {...listed, coldUntil: now + (warmupMs > 0 ? warmupMs : span), suspectedAt: undefined};
	}

	if (state.suspectedAt !== undefined && now - state.suspectedAt >= listDelayMs) {
		return {...listed, coldUntil: now + warmupMs, suspectedAt: undefined};
	}

	// The entry was written before it was read, so this is late rather than early.
	const coldUntil = warmupMs > 0 ? now + warmupMs : state.coldUntil;
	return {...listed, coldUntil: state.suspectedAt === undefined ? coldUntil : Math.max(coldUntil, state.coldUntil)};
}

function hasStartedAgain(state: Coldness, {born, seq}: Pick<Coldness, 'born' | 'seq'>): boolean {
	if (state.born !== undefined && born !== undefined) {
		return born !== state.born;
	}

	return state.seq !== undefined && seq !== undefined && seq < state.seq;
}
