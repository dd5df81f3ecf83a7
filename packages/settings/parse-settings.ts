import {
	isNode, LineCounter, parseDocument, type Document,
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
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	if (document.errors.length > 0) {
		const issues = document.errors.map(error => ({
			line: lines.linePos(error.pos[0]).line, path: '', message: error.message.split('\n', 1)[0] ?? '',
		}));
		return {kind: 'invalid', issues};
	}

	const value: unknown = document.toJS();
	const checked = schema.safeParse(value ?? {});
	if (checked.success) {
		return {kind: 'valid', settings: checked.data};
	}

	const issues = checked.error.issues.flatMap(issue => describeIssue(issue, {document, lines, value}));
	return {kind: 'invalid', issues: issues.toSorted((a, b) => a.line - b.line)};
}

type Source = {readonly document: Document; readonly lines: LineCounter; readonly value: unknown};

function describeIssue(issue: z.core.$ZodIssue, source: Source): readonly SettingsIssue[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => createIssue([...issue.path, key], 'is no setting; remove it or correct its name', source));
	}

	const found = findValue(source.value, issue.path);
	const shown = found === undefined ? 'is missing' : `is ${JSON.stringify(found)}`;
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
