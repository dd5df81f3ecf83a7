/** Selects events of a timeline. An absent property matches all events. */
export type EventFilter = {
	readonly request?: string | undefined;
	readonly workspace?: string | undefined;
	readonly database?: string | undefined;
	readonly host?: string | undefined;
};
