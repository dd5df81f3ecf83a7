import type {Freshness} from './freshness.ts';

/** Formats a freshness in the notation that callers and operators use, with ages in milliseconds. */
export function formatFreshness(freshness: Freshness): string {
	return freshness.kind === 'within' ? `within ${freshness.age}ms` : freshness.kind;
}
