/**
 * What a host knows of a partition's rate allocator from the answers to its claims. Times are in milliseconds of the steady
 * clock.
 */
type AllocatorContact = {
	/** Forgets the answers of the allocator before, because the lease has a new epoch. */
	readonly begin: (epoch: number, now: number) => void;
	/** Records an answer; `isSettled` says whether the allocator knew the shares of all hosts. */
	readonly recordAnswer: (answer: {readonly epoch: number; readonly isSettled: boolean}, now: number) => void;
	/** Records that a claim, sent at a time, got no answer in time. */
	readonly recordSilence: (sentAt: number) => void;
	/** Records that the allocator of an epoch is alive, though its answer to a claim came too late or not at all. */
	readonly recordSign: (epoch: number) => void;
	/** Since when claims have not been answered; undefined while they are. */
	readonly unansweredSince: () => number | undefined;
	/** Whether the allocator of the present epoch has answered. */
	readonly hasAnswered: () => boolean;
	/** Whether the allocator that answered last knew the shares of all hosts. */
	readonly isSettled: () => boolean;
	/**
	 * Finds for how many milliseconds the rates have not been assigned; undefined while they are: the allocator answers,
	 * and knows the shares of all hosts, so that a refusal shows that a rate is used up.
	 */
	readonly findUnassignedTime: (now: number) => number | undefined;
};

/** Creates the record of a host's contact with a rate allocator; none is known at first. */
export function createAllocatorContact(now: number): AllocatorContact {
	let epoch = 0;
	let answeredEpoch: number | undefined;
	let isSettled = false;
	let unansweredSince: number | undefined;
	/** Since when the allocator of this epoch has not known the shares of all hosts; undefined while it does. */
	let unsettledSince: number | undefined = now;

	return {
		begin(newer, at) {
			epoch = newer;
			isSettled = false;
			unansweredSince = undefined;
			unsettledSince = at;
		},
		recordAnswer(answer, at) {
			if (answer.epoch !== epoch) {
				return;
			}

			answeredEpoch = epoch;
			({isSettled} = answer);
			unansweredSince = undefined;
			unsettledSince = isSettled ? undefined : unsettledSince ?? at;
		},
		recordSilence(sentAt) {
			unansweredSince ??= sentAt;
		},
		recordSign(of) {
			if (of === epoch) {
				unansweredSince = undefined;
			}
		},
		unansweredSince: () => unansweredSince,
		hasAnswered: () => answeredEpoch === epoch,
		isSettled: () => isSettled,
		findUnassignedTime(at) {
			const since = unsettledSince ?? unansweredSince;
			return since === undefined ? undefined : at - since;
		},
	};
}
