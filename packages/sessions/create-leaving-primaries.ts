type Observation = {
	readonly primary: string;
	/** Whether the platform lists it as departing. */
	readonly isDeparting: boolean;
	/** Since when the platform does not list it any more, in milliseconds of the steady clock; undefined if it does. */
	readonly missingSince: number | undefined;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** The primaries that the platform lists as departing or not any more. */
type LeavingPrimaries = {
	/** Records what the platform's list, if it is recent, tells of the primary of a group. */
	readonly record: (group: string, observation: Observation) => void;
	/** Forgets what is known of a group, since the list is old. */
	readonly forget: (group: string) => void;
	/** Whether the primary of a group must be fenced also while another host uses the failover lock. */
	readonly isFenceDue: (group: string, now: number) => boolean;
};

/** Part of the time to drain a primary after which it is fenced also while another host uses the failover lock. */
const maxDrainFraction = 0.5;

/** Creates a record of the primaries that are leaving, which must get no statements after a time to drain. */
export function createLeavingPrimaries(drainLimitMs: number): LeavingPrimaries {
	/** The primaries and since when they are leaving, in milliseconds of the steady clock, by group. */
	const leaving = new Map<string, {readonly primary: string; readonly since: number}>();

	return {
		record(group, {primary, isDeparting, missingSince, now}) {
			if (!isDeparting && missingSince === undefined) {
				leaving.delete(group);
			} else if (leaving.get(group)?.primary !== primary) {
				leaving.set(group, {primary, since: missingSince ?? now});
			}
		},
		forget(group) {
			leaving.delete(group);
		},
		isFenceDue(group, now) {
			const since = leaving.get(group)?.since;
			return since !== undefined && now - since > maxDrainFraction * drainLimitMs;
		},
	};
}
