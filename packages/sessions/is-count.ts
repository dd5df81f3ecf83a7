/** Checks whether a value is a whole number of 0 or more that is represented exactly. */
export function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}
