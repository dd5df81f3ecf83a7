/** Whether a host gets no answer from an instance, and the host's zone. */
type Vote = {
	readonly zone: string;
	readonly isSilent: boolean;
};

/**
 * Checks whether more than half of the votes, from at least two zones, say that an instance is silent.
 *
 * A whole zone may be partitioned from the instance, and single hosts may have lost their connection to it.
 */
export function isMajoritySilent(votes: readonly Vote[]): boolean {
	const silent = votes.filter(({isSilent}) => isSilent);
	const zones = new Set(silent.map(({zone}) => zone));
	return silent.length * 2 > votes.length && zones.size >= 2;
}
