/** An instance of an endpoint, as listed by the platform. */
export type ListedInstance = {
	readonly id: string;
	readonly group: string;
	readonly host: string;
	readonly port: number;
	readonly zone: string;
	/** Statements that the instance runs concurrently. */
	readonly slots: number;
	/** Whether the platform drains the instance and is about to remove it. */
	readonly isDeparting: boolean;
	/** The role that the instance reports itself; a replaced primary may still report `primary`. */
	readonly role: 'primary' | 'replica';
};
