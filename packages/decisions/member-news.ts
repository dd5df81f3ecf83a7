/** What one host tells another of a third. */
export type MemberNews = {
	readonly id: string;
	readonly incarnation: number;
	readonly isAlive: boolean;
};
