/** What a client has left unfinished on its connection. Times are in milliseconds of the steady clock. */
export type ClientProgress = {
	readonly openedAt: number;
	/** Whether the message that starts a session has been read. */
	readonly hasStarted: boolean;
	/** When the message began that is not complete; undefined if there is none, or while the host does not read. */
	readonly messageSince: number | undefined;
	/** Since when answers wait to be taken; undefined if none do. */
	readonly unreadSince: number | undefined;
};
