import fc from 'fast-check';
import {oddJson} from './odd-json.ts';
import {oddName} from './odd-name.ts';

/** A change of one place of a value. */
type Change = {
	readonly kind: 'keep' | 'drop' | 'replace' | 'wrap' | 'rename' | 'double' | 'doubleBefore';
	/** Text in JSON, for changes that need a value. */
	readonly json: string;
	/** For changes that need a name. */
	readonly name: string;
};

const change: fc.Arbitrary<Change> = fc.record({
	kind: fc.constantFrom('drop', 'replace', 'replace', 'replace', 'wrap', 'rename', 'double', 'doubleBefore'),
	json: oddJson,
	name: oddName,
});

const unchanged: Change = {kind: 'keep', json: '', name: ''};

/**
 * Creates an arbitrary of texts in JSON: a sound value in which up to three places are dropped, replaced by an odd value, put
 * into an array, given an odd name or written twice. Such texts come further in a decoder than random ones.
 */
export function createChangedJson(sound: unknown): fc.Arbitrary<string> {
	const paths = listPaths(sound, '');
	return fc.array(fc.tuple(fc.constantFrom(...paths), change), {minLength: 1, maxLength: 3})
		.map(changes => formatPlace(sound, '', new Map(changes))[0] ?? '');
}

/** Lists the paths of all places of a value. */
function listPaths(value: unknown, path: string): readonly string[] {
	return [path, ...listEntries(value).flatMap(([key, part]) => listPaths(part, `${path}/${key}`))];
}

function listEntries(value: unknown): ReadonlyArray<readonly [string, unknown]> {
	return typeof value === 'object' && value !== null ? Object.entries(value) : [];
}

/** Formats a place of a value; a text for each time that the place is to be written. */
function formatPlace(value: unknown, path: string, changes: ReadonlyMap<string, Change>): readonly string[] {
	const {kind, json} = changes.get(path) ?? unchanged;
	const text = formatParts(value, path, changes);
	switch (kind) {
		case 'drop': {
			return [];
		}

		case 'replace': {
			return [json];
		}

		case 'wrap': {
			return [`[${text}]`];
		}

		case 'double': {
			return [text, json];
		}

		case 'doubleBefore': {
			return [json, text];
		}

		case 'rename':
		case 'keep': {
			return [text];
		}
	}
}

function formatParts(value: unknown, path: string, changes: ReadonlyMap<string, Change>): string {
	if (Array.isArray(value)) {
		return `[${value.flatMap((part, index) => formatPlace(part, `${path}/${index}`, changes)).join(',')}]`;
	}

	if (typeof value !== 'object' || value === null) {
		return JSON.stringify(value) ?? 'null';
	}

	const fields = listEntries(value).flatMap(([key, part]) => {
		const place = `${path}/${key}`;
		const {kind, name} = changes.get(place) ?? unchanged;
		return formatPlace(part, place, changes).map(text => `${JSON.stringify(kind === 'rename' ? name : key)}:${text}`);
	});
	return `{${fields.join(',')}}`;
}
