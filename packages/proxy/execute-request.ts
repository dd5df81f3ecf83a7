import {
	createRefusal, resultCodes, type AdmittedRequest, type Answer,
} from '@sapphirefall/decisions';
import {executeRead} from './execute-read.ts';
import {executeWrite} from './execute-write.ts';
import type {ExecutionContext} from './execution-context.ts';

/** Executes an admitted request on its database group. */
export async function executeRequest(request: AdmittedRequest, context: ExecutionContext): Promise<Answer> {
	const {work} = request;
	if (context.now() >= request.deadline) {
		return createRefusal(resultCodes.deadlineExpired, {reason: 'the deadline passed before the request could run'});
	}

	return work.kind === 'read' ? executeRead({...request, work}, context) : executeWrite({...request, work}, context);
}
