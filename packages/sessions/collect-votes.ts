import {isMajoritySilent} from './is-majority-silent.ts';

type Vote = Parameters<typeof isMajoritySilent>[0][number];

/**
 * Collects the votes on whether an instance is silent.
 *
 * Resolves as soon as the votes that have arrived decide that it is, however the others turn out; hosts that are lost
 * with the instance would otherwise delay the decision by the timeout of a call.
 *
 * @param asked One promise for each host that was asked; undefined if the host does not answer.
 */
export async function collectVotes(asked: ReadonlyArray<Promise<Vote | undefined>>): Promise<{readonly isSilent: boolean; readonly votes: readonly Vote[]}> {
	const votes: Vote[] = [];
	let pending = asked.length;
	return new Promise(resolve => {
		const count = async (vote: Promise<Vote | undefined>) => {
			const cast = await vote;
			pending--;
			if (cast !== undefined) {
				votes.push(cast);
			}

			const isSilent = isMajoritySilent(votes, votes.length + pending);
			if (isSilent || pending === 0) {
				resolve({isSilent, votes: [...votes]});
			}
		};

		for (const vote of asked) {
			void count(vote);
		}
	});
}
