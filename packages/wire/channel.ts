/** A long-lived stream on which requests are matched with their answers by number. */
export type Channel<Request, Response> = {
	/**
	 * Sends a request; resolves to undefined when the channel closes before the answer.
	 *
	 * An abort of the signal closes the channel when `closesOnAbort` is set, and else only gives up the wait.
	 */
	readonly send: (
		create: (id: number) => Request,
		options: {readonly signal?: AbortSignal; readonly closesOnAbort: boolean},
	) => Promise<Response | undefined>;
	readonly close: () => void;
	readonly isClosed: () => boolean;
};
