/** How a host of a simulated deployment is started. */
export type WireHostOptions = {
	/** Availability zone of the host. */
	readonly zone: string;
	/** Port of the simulated store. */
	readonly storePort: number;
	/** Port of the simulated cloud API, which accepts promotions. */
	readonly cloudPort: number;
	/** Directory of the checkout whose hosts are run. Defaults to this checkout. */
	readonly checkout?: string;
	/** Command-line arguments of Node.js for the host process. */
	readonly nodeArguments?: readonly string[];
	/** Whether the hosts bootstrap a new fleet. */
	readonly isFirstStart?: boolean;
	/** Lines of the settings file beside the usual ones. */
	readonly settings?: readonly string[];
	/** Seconds from SIGTERM until the platform kills a host. Defaults to 4. */
	readonly gracePeriodSeconds?: number;
	/** Bundled program of the host; the sources of the checkout are run if it is not given. */
	readonly program?: string;
	/** Descriptors that the operating system lets the process open; as many as this process may by default. */
	readonly descriptorLimit?: number;
};
