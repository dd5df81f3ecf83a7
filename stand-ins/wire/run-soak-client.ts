/* eslint-disable no-await-in-loop -- sessions and statements of a client run in sequence */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {findWrittenItem} from './find-written-item.ts';
import {openWireClient} from './open-wire-client.ts';
import type {SoakKind} from './soak-kind.ts';
import {soakKinds} from './soak-kinds.ts';
import type {SoakMessage} from './soak-message.ts';
import type {SoakSession} from './soak-session.ts';
import type {SoakTalk} from './soak-talk.ts';
import type {WireDeployment} from './wire-deployment.ts';

type Options = {
	readonly client: number;
	/** Kinds of clients, of which the number of the client selects one. Defaults to those of all soaks. */
	readonly kinds?: readonly SoakKind[];
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	/** Returns the hosts that get new connections. */
	readonly listHosts: () => ReadonlyArray<WireDeployment['hosts'][number]>;
	/** Text that the names of the databases of the client's group end with. */
	readonly databaseSuffix: string;
	/** Items that were written lately, for all clients of a group; the newest one is last. */
	readonly writtenItems: string[];
	readonly isOver: () => boolean;
	readonly onSession: (session: SoakSession) => void;
};

type SessionOptions = Options & {readonly host: WireDeployment['hosts'][number]};

/** Milliseconds between two attempts to connect. */
const reconnectMs = 50;

/** Numbers of items written lately that reads choose from; half of them from the newest ones only. */
const itemCounts = {newest: 20, kept: 300};

/** Uses connections to hosts, one after the other, each until the host closes it, until the soak is over. */
export async function runSoakClient(options: Options): Promise<void> {
	while (!options.isOver()) {
		const hosts = options.listHosts();
		const host = hosts[Math.floor(options.random() * hosts.length)];
		if (host !== undefined) {
			await runSession({...options, host});
		}

		await sleep(reconnectMs);
	}
}

/** Uses a connection until the host closes it or the soak is over. */
async function runSession(options: SessionOptions): Promise<void> {
	const {
		client, kinds = soakKinds, host, isOver, onSession,
	} = options;
	const kind = kinds[client % kinds.length];
	if (kind === undefined) {
		return;
	}

	const openedAt = performance.now();
	const database = `${kind.database}${options.databaseSuffix}`;
	const wire = openWireClient(host.port, {...kind, database});
	const messages: SoakMessage[] = [];
	const {state: startState} = await wire.started;
	if (startState !== '') {
		const talk = createTalk({...options, wire, messages});
		while (!talk.isOver()) {
			await kind.runOperation(talk);
		}
	}

	const isClosedByHost = wire.isClosed();
	wire.close();
	onSession({
		client, host, database, key: kind.key, openedAt, startState, messages, closedAt: performance.now(), isClosedByHost, isReadLate: kind.isReadLate,
	});
	if (startState === '' && !isOver()) {
		await sleep(reconnectMs);
	}
}

type TalkOptions = SessionOptions & {
	readonly wire: ReturnType<typeof openWireClient>;
	readonly messages: SoakMessage[];
};

function createTalk({
	client, random, writtenItems, isOver, wire, messages,
}: TalkOptions): SoakTalk {
	const pick = (least: number, most: number) => least + Math.floor(random() * (most - least));
	/** Items that the open transaction has written. */
	let openItems: string[] = [];

	/** Adds the items that are written once a statement is answered. */
	const recordItems = (text: string, {state, result}: {readonly state: string; readonly result: string}) => {
		const item = findWrittenItem(text);
		const isDone = result.startsWith('COMPLETE');
		if (item !== undefined && isDone) {
			openItems.push(item);
		}

		if (state === 'I') {
			const isWritten = isDone && (item !== undefined || text === 'COMMIT');
			writtenItems.push(...isWritten ? openItems : []);
			writtenItems.splice(0, writtenItems.length - itemCounts.kept);
			openItems = [];
		}
	};

	const send = async (...texts: readonly string[]) => {
		const sentAt = performance.now();
		const statements = texts.map(text => ({id: randomUUID(), text}));
		const first = messages.length;
		const answers = wire.sendTogether(statements.map(({id, text}) => `QUERY ${id} ${text}\r\n`));
		let lastState = '';
		await Promise.all(statements.map(async (statement, index) => {
			const answer = await (answers[index] ?? wire.started);
			messages[first + index] = {
				...statement, ...answer, sentAt, endedAt: performance.now(),
			};
			lastState = answer.state;
			recordItems(statement.text, answer);
		}));
		return lastState;
	};

	const createItem = () => {
		const item = `i${client}-${randomUUID()}`;
		return `${item} of-${item}`;
	};

	return {
		send,
		async sendAndReadLate(lateMs, ...texts) {
			wire.pauseReading();
			const sent = send(...texts);
			await sleep(lateMs);
			wire.resumeReading();
			return sent;
		},
		async pause(least, most) {
			await sleep(pick(least, most));
		},
		pick,
		createItem,
		createWrite: () => `WRITE ${createItem()}`,
		findItem: () => writtenItems[pick(random() < 0.5 ? Math.max(0, writtenItems.length - itemCounts.newest) : 0, writtenItems.length)] ?? 'none',
		isOver: () => wire.isClosed() || isOver(),
	};
}
