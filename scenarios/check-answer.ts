import {expect} from 'chai';
import type {ExecuteResponse} from '@sapphirefall/wire';
import {findResultCode} from '../stand-ins/cluster/find-result-code.ts';
import {listRows} from '../stand-ins/cluster/list-rows.ts';
import type {Scenario} from './scenario.ts';

type Expectation = NonNullable<NonNullable<Scenario['steps'][number]['call']>['expect']>;

/**
 * Checks a response against the expectation of a scenario.
 *
 * @param response Response to the call.
 * @param options The expectation, and the time that the response took in milliseconds.
 * @throws {AssertionError} If the response does not meet the expectation.
 */
export function checkAnswer(
	response: ExecuteResponse,
	options: {readonly expected: Expectation; readonly elapsedMs: number},
): void {
	const {expected, elapsedMs} = options;
	const {answer} = response;
	const shown = JSON.stringify(answer.value, (_, value: unknown) => typeof value === 'bigint' ? value.toString() : value);
	if (expected.answer !== undefined) {
		expect([expected.answer].flat(), shown).to.include(answer.case);
	}

	if (expected.code !== undefined) {
		expect([expected.code].flat(), shown).to.include(findResultCode(response));
	}

	if (expected.rows !== undefined) {
		const rows = listRows(response).map(row => row.map(value => typeof value === 'bigint' ? Number(value) : value));
		expect(rows, shown).to.deep.equal(expected.rows);
	}

	if (expected.instance !== undefined) {
		expect(answer.case === 'done' && answer.value.instance, shown).to.equal(expected.instance);
	}

	if (expected.notInstance !== undefined) {
		expect(answer.case === 'done' && answer.value.instance, shown).to.not.equal(expected.notInstance);
	}

	if (expected.replayed !== undefined) {
		expect(answer.case === 'done' && answer.value.replayed, shown).to.equal(expected.replayed);
	}

	if (expected.within !== undefined) {
		expect(elapsedMs, shown).to.be.at.most(expected.within);
	}
}
