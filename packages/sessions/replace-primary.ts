import {executePromotion} from './execute-promotion.ts';
import {commitGroupRow} from './commit-group-row.ts';
import {commitFence} from './commit-fence.ts';
import type {Failover} from './failover.ts';
import {findNewestCommit} from './log-copies/find-newest-commit.ts';
import {sendStepDown} from './send-step-down.ts';
import {waitForHosts} from './wait-for-hosts.ts';

/**
 * Replaces the primary of a group: fences the old primary in the store, waits until no host uses it, promotes the
 * instance with the newest log, and stores it as the new primary.
 *
 * Another host can resume the failover after any step. A promotion order is repeated only for the same instance until
 * that instance is known to be gone.
 */
export async function replacePrimary(failover: Failover): Promise<void> {
	const {group, log, reason, now} = failover;
	const startedAt = now().steady;
	const logStep = (line: string, fields: Readonly<Record<string, unknown>> = {}) => {
		log.info({
			group: group.name, reason, elapsed: Math.round(now().steady - startedAt), ...fields,
		}, `failover: ${line}`);
	};

	const fence = await commitFence(failover);
	if (fence === undefined) {
		logStep('The host did not set the fence; another host may have been first.');
		return;
	}

	logStep('The host set the fence.', {epoch: fence.row.epoch, token: fence.row.token, hosts: fence.hosts.length});
	const {answers, silent} = await waitForHosts(fence, failover);
	logStep('All leases on the old primary are released or expired.', {silent});
	const reports = [{mark: group.findLogMark(), commit: group.findCommitMark()}, ...answers.map(({newest, commit}) => ({mark: newest, commit}))];
	const promoted = await executePromotion(fence, failover, {newestCommit: findNewestCommit(reports), logStep});
	if (promoted === undefined) {
		logStep('The host promoted no successor in time; another host resumes the failover.');
		return;
	}

	const outcome = await commitGroupRow(promoted.row, {
		...promoted.row, state: 'serving', primary: promoted.instance, term: promoted.status.term, successor: '',
	}, failover);
	logStep('The host tried to store the new primary.', {primary: promoted.instance, term: promoted.status.term, outcome});
	if (promoted.instance !== fence.row.primary) {
		void sendStepDown(fence.row.primary, promoted.status.term, failover);
	}
}
