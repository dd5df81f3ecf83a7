import type {ReadCandidate} from './read-candidate.ts';

/**
 * Whether an instance is known to answer: it has, and has not failed since. Of the primary, the row of its group shows that
 * there is such an instance.
 */
export function isProven({isPrimary, health}: Pick<ReadCandidate, 'isPrimary' | 'health'>): boolean {
	return health.failures === 0 && (health.hasAnswered || isPrimary);
}
