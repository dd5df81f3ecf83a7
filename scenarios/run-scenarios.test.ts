import {
	existsSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {parseSettings} from '@sapphirefall/settings';
import {createTranscript} from './create-transcript.ts';
import {runScenario} from './run-scenario.ts';
import {scenarioSchema} from './scenario-schema.ts';

const directory = import.meta.dirname;
const isUpdate = process.env['UPDATE_GOLDEN'] === '1';

describe('scenarios', () => {
	for (const file of readdirSync(directory).filter(name => name.endsWith('.yaml'))) {
		const outcome = parseSettings(readFileSync(path.join(directory, file), 'utf8'), scenarioSchema);
		if (outcome.kind === 'invalid') {
			throw new Error(`${file}: ${outcome.issues.map(({line, path, message}) => `${line}: ${path} ${message}`).join('; ')}`);
		}

		const scenario = outcome.settings;
		it(`${file}: ${scenario.title}`, async () => {
			const transcript = createTranscript();
			await runScenario(scenario, transcript);
			if (scenario.golden) {
				compareGolden(path.join(directory, 'golden', file.replace(/\.yaml$/v, '.txt')), transcript.read());
			}
		});
	}
});

function compareGolden(file: string, text: string): void {
	if (isUpdate) {
		writeFileSync(file, text);
	}

	expect(existsSync(file), `${file} is missing; run with UPDATE_GOLDEN=1 to create it`).to.equal(true);
	expect(text).to.equal(readFileSync(file, 'utf8'));
}
