import type {SoakTalk} from './soak-talk.ts';

/** A kind of client: the database it uses, and an operation, which it repeats for as long as its connection is open. */
export type SoakKind = {
	readonly name: string;
	readonly database: string;
	readonly key: string;
	readonly isReadLate: boolean;
	readonly runOperation: (talk: SoakTalk) => Promise<void>;
};
