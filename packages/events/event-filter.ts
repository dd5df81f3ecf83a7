/** Which events of a time line to show; an absent part admits all. */
export type EventFilter = {
	readonly request?: string | undefined;
	readonly workspace?: string | undefined;
	readonly database?: string | undefined;
	readonly host?: string | undefined;
};
