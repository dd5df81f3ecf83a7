import type {Access} from './access.ts';
import type {Caller} from './caller.ts';
import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {KnownDirectory} from './known-directory.ts';

type Question = Caller & {
	/** Milliseconds after which a withdrawn key must have stopped working. */
	readonly revocationLimit: number;
	readonly now: Instant;
};

/** Milliseconds by which a key is refused before the limit, since a statement is still on its way then. */
const revocationMargin = 400;

/** Name under which instances know callers of open routes. */
const anonymousWorkspace = 'public';

/**
 * Finds whether a caller may use a database now.
 *
 * A key counts only while the host knows that no newer configuration was accepted so long ago that the key must
 * have stopped working.
 */
export function findAccess(known: KnownDirectory | undefined, {database, keyDigest, revocationLimit, now}: Question): Access {
	if (known === undefined) {
		return {kind: 'denied', code: 'busy', reason: 'The configuration has not been read yet; retry after 500 ms'};
	}

	const {directory, provenAt} = known;
	const route = directory.routes.get(database);
	if (route === undefined) {
		return {kind: 'denied', code: 'noDatabase', reason: 'No database has this name'};
	}

	const workspace = directory.workspaceOfKey.get(keyDigest);
	if (route.isPublic) {
		return {
			kind: 'allowed', route, workspace: workspace ?? anonymousWorkspace, version: directory.version,
		};
	}

	if (workspace === undefined) {
		return {kind: 'denied', code: 'badKey', reason: 'No workspace has this key'};
	}

	return findElapsed(provenAt, now) < revocationLimit - revocationMargin
		? {
			kind: 'allowed', route, workspace, version: directory.version,
		}
		: {kind: 'denied', code: 'busy', reason: 'The store has not confirmed the key lately; retry after 500 ms'};
}
