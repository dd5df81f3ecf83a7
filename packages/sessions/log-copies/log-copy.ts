/**
 * The log of one start of an instance, which may hold commits that were acknowledged because it had received them.
 *
 * An instance that starts again under its id without its log is another copy.
 */
export type LogCopy = {
	readonly id: string;
	/** When the process of the instance started, in milliseconds since the epoch; undefined if it does not tell. */
	readonly born?: number | undefined;
};
