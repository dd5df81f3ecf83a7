/** What a caller named when it connected; checked anew before each of its statements. */
export type Caller = {
	readonly database: string;
	/** See `hashKey`. */
	readonly keyDigest: string;
};
