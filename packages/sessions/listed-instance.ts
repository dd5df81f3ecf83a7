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
	/** Milliseconds for which the instance said that its caches are still cold. */
	readonly warmupMs?: number;
	/** When the process of the instance started, in milliseconds since the epoch. */
	readonly born?: number | undefined;
	/** Counter of the entries of that process. */
	readonly seq?: number;
};
