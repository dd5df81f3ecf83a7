/** Options that every operator command takes. */
export type OperatorOptions = {
	/** URL of a host's operator address. */
	readonly address?: string;
	/** File that holds the operator token. */
	readonly tokenFile?: string;
	/** Version that the change is based on. */
	readonly basedOn?: number;
	readonly json?: boolean;
};
