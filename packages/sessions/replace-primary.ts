import {executePromotion} from './execute-promotion.ts';
import {commitGroupRow} from './commit-group-row.ts';
import {commitFence} from './commit-fence.ts';
import type {Failover} from './failover.ts';
import {sendStepDown} from './send-step-down.ts';
import {waitForHosts} from './wait-for-hosts.ts';

/**
 * Replaces the primary of a group: fences the old one in the store, waits until no host uses it, promotes the
 * instance that is furthest ahead, and names it in the store.
 *
 * Every step can be taken up by another host. The order of promotion is repeated only for the same instance
 * until that is known to be gone.
 */
export async function replacePrimary(replacement: Failover): Promise<void> {
	const {group, log, reason, now} = replacement;
	const startedAt = now().steady;
	const step = (line: string, fields: Readonly<Record<string, unknown>> = {}) => {
		log.info({
			group: group.name, reason, elapsed: Math.round(now().steady - startedAt), ...fields,
		}, `failover: ${line}`);
	};

	const fence = await commitFence(replacement);
	if (fence === undefined) {
		step('The fence was not raised; another host may have been first.');
		return;
	}

	step('The fence is raised.', {epoch: fence.row.epoch, token: fence.row.token, hosts: fence.hosts.length});
	const silent = await waitForHosts(fence, replacement);
	step('No host uses the old primary any more.', {silent});
	const promoted = await executePromotion(fence, replacement, step);
	if (promoted === undefined) {
		step('No successor could be promoted in time; another host goes on.');
		return;
	}

	const outcome = await commitGroupRow(promoted.row, {
		...promoted.row, state: 'serving', primary: promoted.instance, successor: '',
	}, replacement);
	step('The new primary is named in the store.', {primary: promoted.instance, term: promoted.status.term, outcome});
	if (promoted.instance !== fence.row.primary) {
		void sendStepDown(fence.row.primary, promoted.status.term, replacement);
	}
}
