import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of a caller's key in base64url, so that the host does not keep the key itself. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('base64url');
}
