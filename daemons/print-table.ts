/**
 * Prints rows as a table with aligned columns, or as a JSON array.
 *
 * @param rows Rows with the same properties, which become the columns.
 * @param isJson Whether to print JSON.
 */
export function printTable(rows: ReadonlyArray<Readonly<Record<string, string | number>>>, isJson: boolean): void {
	if (isJson) {
		console.log(JSON.stringify(rows));
		return;
	}

	const [first] = rows;
	if (first === undefined) {
		console.log('There are none');
		return;
	}

	const names = Object.keys(first);
	const lines = [names, ...rows.map(row => names.map(name => String(row[name] ?? '')))];
	const widths = names.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	for (const line of lines) {
		console.log(line.map((text, column) => text.padEnd(widths[column] ?? 0)).join('  ').trimEnd());
	}
}
