import fc from 'fast-check';
import {oddName} from './odd-name.ts';

const nestedDepth = 20_000;

const fixedTexts = [
	'null',
	'true',
	'false',
	'[]',
	'{}',
	'[[]]',
	'[null]',
	'""',
	'"7"',
	'0',
	'-0',
	'-1',
	'0.5',
	'1.5e-300',
	'1e999',
	'-1e999',
	'1e308',
	'65535',
	'65536',
	'2147483648',
	'4294967296',
	'9007199254740991',
	'9007199254740992',
	'1099511627776',
	`1${'0'.repeat(400)}`,
	'{"__proto__":{"admin":true}}',
	'{"constructor":1}',
	'{"length":3}',
	'['.repeat(nestedDepth) + ']'.repeat(nestedDepth),
];

/** Texts in JSON of values that nobody would write: numbers out of every range, odd names, arrays for objects, deep nesting. */
export const oddJson: fc.Arbitrary<string> = fc.oneof(
	fc.constantFrom(...fixedTexts),
	oddName.map(name => JSON.stringify(name)),
	fc.double().map(String),
	fc.json({maxDepth: 4}),
);
