/** Names in the store have at most this many bytes. */
const maxLength = 200;

/**
 * Checks whether a value is a name that can be a field of a message: a text that is not empty, has neither blanks nor control
 * characters, and stays the same in UTF-8.
 */
export function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxLength && value.isWellFormed() && /^[^\s\p{Cc}]+$/v.test(value);
}
