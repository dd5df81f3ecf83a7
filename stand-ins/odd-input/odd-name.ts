import fc from 'fast-check';

const fixedNames = [
	'__proto__',
	'constructor',
	'toString',
	'hasOwnProperty',
	'valueOf',
	'prototype',
	'then',
	'length',
	'',
	' ',
	'a b',
	'\0',
	'\r\n',
	'\n',
	'\u007F',
	'\u0085',
	'\u00A0',
	'\u00FF',
	'\u010D\u010A',
	'\u2028',
	'\u202E',
	'\uFEFF',
	'\uFFFD',
	'\uD800',
	'\uDFFF',
	'a\uDC00',
	'\u{1F41F}',
	'caf\u00E9',
	'cafe\u0301',
	'-',
	'-0',
	'NaN',
	'1e3',
	'0x10',
	'.',
	'../..',
	'x'.repeat(200),
	'x'.repeat(201),
	'\u{1F41F}'.repeat(101),
];

const codeUnits = (max: number) => fc.array(fc.integer({min: 0, max}), {maxLength: 12}).map(units => String.fromCodePoint(...units));

/** Texts that nobody would choose as a name: properties of all objects, lone surrogates, control characters, blanks, long ones. */
export const oddName: fc.Arbitrary<string> = fc.oneof(fc.constantFrom(...fixedNames), codeUnits(0xFF), codeUnits(0xFF_FF), fc.string());
