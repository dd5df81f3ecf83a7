import {createHash} from 'node:crypto';

/** Digests a caller's key, so that the key itself is kept nowhere. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('base64url');
}
