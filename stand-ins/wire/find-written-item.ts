/** Returns the item that a statement of a soak writes, or undefined if it writes none. */
export function findWrittenItem(text: string): string | undefined {
	return /^(?:WRITE|EXECUTE put) (?<item>\S+)/v.exec(text)?.groups?.['item'];
}
