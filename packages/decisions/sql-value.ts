/** One SQL value. */
export type SqlValue = string | number | bigint | Uint8Array | null;
