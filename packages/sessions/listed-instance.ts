/** An endpoint instance as the platform lists it. */
export type ListedInstance = {
	readonly id: string;
	readonly group: string;
	readonly host: string;
	readonly port: number;
	readonly zone: string;
	/** Statements that it runs at the same time. */
	readonly slots: number;
	readonly isDeparting: boolean;
	/** As the instance sees itself; a replaced primary may still call itself one. */
	readonly role: 'primary' | 'replica';
};
