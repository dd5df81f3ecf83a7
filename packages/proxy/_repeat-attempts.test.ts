import {expect} from 'chai';
import {createRefusal, resultCodes, type AdmittedRequest} from '@sapphirefall/decisions';
import {repeatAttempts} from './_repeat-attempts.ts';
import type {Attempt} from './_attempt.ts';
import type {ExecutionContext} from './execution-context.ts';

const commitLost: Attempt = {kind: 'failed', mayHaveRun: true, reason: 'the answer to the commit was lost'};
const notRunAttempt: Attempt = {kind: 'failed', mayHaveRun: false, reason: 'the primary did not answer before the commit'};
const busy: Attempt = {kind: 'refused', answer: createRefusal(resultCodes.connectionsBusy, {reason: 'no connection'})};
const failed: Attempt = {kind: 'answered', answer: createRefusal(resultCodes.statementFailed, {reason: 'no such table'})};

const cases: ReadonlyArray<readonly [string, readonly Attempt[], 'notRun' | 'unknown']> = [
	['a busy primary on the only attempt', [busy], 'notRun'],
	['a busy primary after an attempt that cannot have run', [notRunAttempt, busy], 'notRun'],
	['a busy primary after a commit whose answer was lost', [commitLost, busy], 'unknown'],
	['a busy primary several attempts after such a commit', [commitLost, notRunAttempt, busy], 'unknown'],
	['a failed statement, which proves that the lost commit did not happen', [commitLost, failed], 'notRun'],
];

describe('repeatAttempts', () => {
	for (const [title, attempts, expected] of cases) {
		it(`answers ${expected} for ${title}`, async () => {
			const remaining = [...attempts];
			const context = {now: () => 0, takeRetry: () => true, onAttemptFailed: () => undefined} as unknown as ExecutionContext;
			const request = {deadline: 1000} as unknown as AdmittedRequest;
			const answer = await repeatAttempts(request, {context, attempt: async () => remaining.shift() ?? notRunAttempt});
			expect(answer.kind).to.equal(expected);
		});
	}
});
