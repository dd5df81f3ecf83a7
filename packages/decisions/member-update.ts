/** The liveness of a host, as one host reports it to another. */
export type MemberUpdate = {
	readonly id: string;
	readonly incarnation: number;
	readonly isAlive: boolean;
};
