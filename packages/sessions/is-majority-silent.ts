/** What a host says of an instance. */
type Vote = {
	readonly zone: string;
	readonly isSilent: boolean;
};

/**
 * Whether the hosts that answered agree that an instance is silent: more than half of them, from two zones.
 *
 * One zone alone may be cut off, and a few hosts may have lost their way to the instance.
 */
export function isMajoritySilent(votes: readonly Vote[]): boolean {
	const silent = votes.filter(({isSilent}) => isSilent);
	const zones = new Set(silent.map(({zone}) => zone));
	return silent.length * 2 > votes.length && zones.size >= 2;
}
