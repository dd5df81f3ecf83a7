import type {Freshness} from './freshness.ts';

/** Formats a freshness as callers and operators write it. */
export function formatFreshness(freshness: Freshness): string {
	return freshness.kind === 'within' ? `within ${freshness.age}ms` : freshness.kind;
}
