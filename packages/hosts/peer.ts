import type {ExchangeContent} from './exchange-content.ts';

/** Another entry host. A call that gets no answer rejects. */
export type Peer = {
	readonly exchange: (content: ExchangeContent) => Promise<ExchangeContent>;
	/** Asks whether the other host also misses the primary of a term. */
	readonly confirm: (database: string, term: number) => Promise<boolean>;
};
