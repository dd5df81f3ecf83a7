/** Database and key that a caller presented when it connected. The host checks both again before each statement. */
export type Caller = {
	readonly database: string;
	/** Digest of the caller's key; see `hashKey`. */
	readonly keyDigest: string;
};
