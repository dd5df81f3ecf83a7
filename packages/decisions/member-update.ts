/** What one host tells another of a third. */
export type MemberUpdate = {
	readonly id: string;
	readonly incarnation: number;
	readonly isAlive: boolean;
};
