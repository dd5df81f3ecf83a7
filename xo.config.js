/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		// Generated and built code, and JavaScript files that belong to no TypeScript project.
		ignores: ['packages/wire/gen/**', 'out/**', 'bin/**', 'xo.config.js'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Exceptions to XO's rules: null is a SQL value, and imports name the .ts extension because Node resolves them so.
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
