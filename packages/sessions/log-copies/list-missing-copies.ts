import {isSameCopy} from './is-same-copy.ts';
import type {LogCopy} from './log-copy.ts';

type Options = {
	/** Copies in the row of a group. */
	readonly copies: readonly LogCopy[];
	/** Copies of the instances that the platform lists. */
	readonly listed: readonly LogCopy[];
	/** Instance that leads the group. */
	readonly primary: string;
};

/** Lists the copies of instances that the platform lists no more, or that have started again since; without that of a primary that is not listed. */
export function listMissingCopies({copies, listed, primary}: Options): readonly LogCopy[] {
	const isPrimaryListed = listed.some(({id}) => id === primary);
	return copies
		.filter(copy => copy.id !== primary || isPrimaryListed)
		.filter(copy => !listed.some(other => isSameCopy(copy, other)));
}
