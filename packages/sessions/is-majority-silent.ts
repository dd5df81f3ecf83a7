/** Whether a host gets no answer from an instance, and the host's zone. */
type Vote = {
	readonly zone: string;
	readonly isSilent: boolean;
};

/**
 * Checks whether more than half of the votes, from at least two zones, say that an instance is silent.
 *
 * A whole zone may be partitioned from the instance, and single hosts may have lost their connection to it.
 *
 * @param votes Votes that have arrived.
 * @param count Number of votes that count in the end: those that have arrived and those that may still arrive.
 */
export function isMajoritySilent(votes: readonly Vote[], count = votes.length): boolean {
	const silent = votes.filter(({isSilent}) => isSilent);
	const zones = new Set(silent.map(({zone}) => zone));
	return silent.length * 2 > count && zones.size >= 2;
}
