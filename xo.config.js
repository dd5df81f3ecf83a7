/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		// Generated code, and two short files that no TypeScript project holds.
		ignores: ['packages/wire/gen/**', 'out/**', 'bin/**', 'xo.config.js'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// The house style wins over XO: null is a SQL value, and modules end in .ts as Node resolves them.
			'@typescript-eslint/no-restricted-types': 'off',
			'import-x/extensions': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
		},
	},
	{
		files: ['**/mod.ts'],
		rules: {
			'import-x/export': 'off',
		},
	},
];

export default config;
