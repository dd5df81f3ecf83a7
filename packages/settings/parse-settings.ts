import {
	isNode, isScalar, LineCounter, parseDocument, visit, type Document,
} from 'yaml';
import {type z} from 'zod';
import type {SettingsIssue} from './settings-issue.ts';
import type {SettingsOutcome} from './settings-outcome.ts';

/**
 * Parses settings in YAML and validates them against a schema.
 *
 * @param text The YAML text.
 * @param schema The schema of the settings; a strict object rejects unknown names.
 * @returns The settings, or all syntax errors, or all violations of the schema by line. Syntax errors have no path.
 */
export function parseSettings<Schema extends z.ZodType>(
	text: string,
	schema: Schema,
): SettingsOutcome<z.infer<Schema>> {
	let source: Source;
	try {
		source = readSource(text);
	} catch (error) {
		// The library throws for aliases without an anchor, for too many of them, and for text that is nested too deeply.
		return {kind: 'invalid', issues: [{line: 1, path: '', message: (error as Error).message}]};
	}

	const {document, lines, value} = source;
	const faults = [...listSyntaxErrors(source), ...listLostNames(source)];
	if (faults.length > 0) {
		return {kind: 'invalid', issues: faults};
	}

	const checked = schema.safeParse(value ?? {});
	if (checked.success) {
		return {kind: 'valid', settings: checked.data};
	}

	const issues = checked.error.issues.flatMap(issue => describeIssue(issue, {document, lines, value}));
	return {kind: 'invalid', issues: issues.toSorted((a, b) => a.line - b.line)};
}

type Source = {readonly document: Document; readonly lines: LineCounter; readonly value: unknown};

/** Reads the YAML text; the value is undefined if the document has syntax errors. */
function readSource(text: string): Source {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	return {document, lines, value: document.errors.length > 0 ? undefined : document.toJS()};
}

function listSyntaxErrors({document, lines}: Source): readonly SettingsIssue[] {
	return document.errors.map(error => ({
		line: lines.linePos(error.pos[0]).line, path: '', message: error.message.split('\n', 1)[0] ?? '',
	}));
}

/** Lists the settings whose name the schema would leave out without a word. */
function listLostNames({document, lines}: Source): readonly SettingsIssue[] {
	const issues: SettingsIssue[] = [];
	visit(document, {
		Pair(_, {key}) { // eslint-disable-line @typescript-eslint/naming-convention -- name defined by the library
			if (isScalar(key) && key.value === '__proto__') {
				issues.push({line: lines.linePos(key.range?.[0] ?? 0).line, path: '__proto__', message: 'is no name that can be used'});
			}
		},
	});
	return issues;
}

/** Formats a value as it was found; one that contains itself has no text. */
function formatFound(found: unknown): string {
	try {
		return JSON.stringify(found);
	} catch {
		return 'a value that contains itself';
	}
}

function describeIssue(issue: z.core.$ZodIssue, source: Source): readonly SettingsIssue[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => createIssue([...issue.path, key], 'is no setting; remove it or correct its name', source));
	}

	const found = findValue(source.value, issue.path);
	const shown = found === undefined ? 'is missing' : `is ${formatFound(found)}`;
	return [createIssue(issue.path, `${shown}; ${describeAllowed(issue)}`, source)];
}

function describeAllowed(issue: z.core.$ZodIssue): string {
	switch (issue.code) {
		case 'too_small': {
			return `must be at least ${issue.minimum}${issue.origin === 'string' ? ' characters long' : ''}`;
		}

		case 'too_big': {
			return `must be at most ${issue.maximum}`;
		}

		case 'invalid_value': {
			return `must be one of ${issue.values.map(String).join(', ')}`;
		}

		case 'invalid_type': {
			return `must be of type ${issue.expected}`;
		}

		default: {
			return issue.message;
		}
	}
}

function createIssue(path: readonly PropertyKey[], message: string, source: Source): SettingsIssue {
	return {line: findLine(path, source), path: path.map(String).join('.'), message};
}

/** Finds the line of a setting, or of its nearest ancestor in the document if the setting is missing. */
function findLine(path: readonly PropertyKey[], {document, lines}: Source): number {
	for (let {length} = path; length > 0; length--) {
		const node = document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return lines.linePos(node.range[0]).line;
		}
	}

	return 1;
}

function findValue(value: unknown, path: readonly PropertyKey[]): unknown {
	let found = value;
	for (const part of path) {
		found = (found as Readonly<Record<PropertyKey, unknown>> | undefined)?.[part];
	}

	return found;
}
