import {setTimeout as sleep} from 'node:timers/promises';
import type {Failover} from './failover.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import {readStatus} from './read-status.ts';
import type {ReportedStatus} from './reported-status.ts';
import {statusTimeoutMs} from './status-timeout-ms.ts';

type Options = {
	/** Instance that is not asked. */
	readonly excluded?: string | undefined;
	/** Instance that was found silent. */
	readonly silent?: string | undefined;
	/** Milliseconds within which an instance must answer. Defaults to `statusTimeoutMs`. */
	readonly timeout?: number;
};

/** Milliseconds for which a primary that was found silent may still answer after the other instances have. */
const silentGraceMs = 60;

/**
 * Reads the status of all instances of a group but one, also of those that the platform no longer lists but whose logs may
 * hold acknowledged commits. Waits for one that was found silent only a little longer than for
 * the others, because it rarely answers again just now.
 */
export async function readStatuses({group, workspace, isEvacuated}: Pick<Failover, 'group' | 'workspace' | 'isEvacuated'>, {excluded, silent, timeout = statusTimeoutMs}: Options): Promise<readonly ReportedStatus[]> {
	const unlisted = new Set(group.listUnlisted());
	const instances = [...group.listInstances(), ...unlisted].filter(instance => instance.listed().id !== excluded);
	const answers: ReportedStatus[] = [];
	const read = async (instance: InstanceRuntime) => {
		const status = await readStatus(instance, {workspace, timeout});
		if (status !== undefined) {
			const {id, zone, isDeparting, born} = instance.listed();
			answers.push({
				id, status, isDeparting: isDeparting || unlisted.has(instance), isEvacuated: isEvacuated?.(zone) ?? false, born,
			});
		}
	};

	const others = Promise.all(instances.filter(instance => instance.listed().id !== silent).map(async instance => read(instance)));
	const rest = Promise.all(instances.filter(instance => instance.listed().id === silent).map(async instance => read(instance)));
	await others;
	await Promise.race([rest, sleep(silentGraceMs)]);
	return [...answers];
}
