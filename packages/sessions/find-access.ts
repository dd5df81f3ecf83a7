import {findElapsed} from './find-elapsed.ts';
import type {FailureCode} from './failure-code.ts';
import type {Instant} from './instant.ts';
import type {KnownDirectory} from './known-directory.ts';
import type {Route} from './route.ts';

type Access =
	| {readonly kind: 'allowed'; readonly route: Route; readonly workspace: string; readonly version: number}
	| {readonly kind: 'denied'; readonly code: FailureCode; readonly reason: string};

type Caller = {
	readonly database: string;
	readonly keyDigest: string;
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
export function findAccess(known: KnownDirectory | undefined, {database, keyDigest, revocationLimit, now}: Caller): Access {
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
