/** A long-lived stream that matches answers to requests by number. */
export type Channel<Request, Response> = {
	/**
	 * Sends a request. Resolves to undefined if the channel closes or the signal is aborted before the answer arrives.
	 *
	 * If the signal is aborted, `closesOnAbort` closes the channel; otherwise only this call stops waiting.
	 */
	readonly send: (
		create: (id: number) => Request,
		options: {readonly signal?: AbortSignal; readonly closesOnAbort: boolean},
	) => Promise<Response | undefined>;
	readonly close: () => void;
	readonly isClosed: () => boolean;
};
