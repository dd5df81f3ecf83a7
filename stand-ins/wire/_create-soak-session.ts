import type {SoakMessage} from './soak-message.ts';
import type {SoakSession} from './soak-session.ts';

type Options = {
	readonly database?: string;
	readonly messages: ReadonlyArray<Partial<SoakMessage> & Pick<SoakMessage, 'text'>>;
};

/** Creates a session of a soak; statements are answered with success 10 ms after they were sent, unless they say otherwise. */
export function createSoakSession({database = 'latest', messages}: Options): SoakSession {
	return {
		client: 0,
		host: {} as SoakSession['host'], // eslint-disable-line @typescript-eslint/consistent-type-assertions -- not used
		database,
		key: 'good',
		openedAt: 0,
		startState: 'I',
		messages: messages.map((message, index) => {
			const sentAt = message.sentAt ?? index * 10;
			return {
				id: String(index), result: 'COMPLETE i-a', state: 'I', rows: [], sentAt, endedAt: sentAt + 10, ...message,
			};
		}),
		closedAt: 100_000,
		isClosedByHost: true,
		isReadLate: false,
	};
}
