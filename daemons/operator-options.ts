/** Options of the commands that connect to a host. */
export type OperatorOptions = {
	/** URL of the operator interface of a host. */
	readonly address?: string;
	/** File that holds the operator token. */
	readonly tokenFile?: string;
	/** Version that the change is based on; the host refuses the change when another one is in force. */
	readonly basedOn?: number;
	readonly json?: boolean;
};
