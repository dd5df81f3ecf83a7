import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import type {SessionCodec} from './session-codec.ts';

/** Largest position of a log. */
const maxPosition = (2n ** 64n) - 1n;

/** Contents of a claim: workspace, database, and the term and position of a log point. The position is a string, since JSON numbers do not hold 64-bit integers. */
const schema = z.tuple([
	z.string(),
	z.string(),
	z.number().int().min(0),
	z.string().regex(/^\d{1,20}$/v).transform(BigInt).refine(position => position <= maxPosition),
]);

/**
 * Creates a codec for session tokens. A token consists of a claim and its HMAC-SHA-256, both in base64url.
 *
 * The caller keeps the token and sends it with each request, so hosts share no session state.
 *
 * @param secret Secret that all hosts of the fleet share.
 */
export function createSessionCodec(secret: string): SessionCodec {
	const sign = (body: string) => createHmac('sha256', secret).update(body).digest();
	return {
		encode({workspace, database, point}) {
			const fields = [workspace, database, point.term, point.position.toString()];
			const body = Buffer.from(JSON.stringify(fields)).toString('base64url');
			return `${body}.${sign(body).toString('base64url')}`;
		},
		decode(token) {
			const [body = '', signature = ''] = token.split('.');
			const expected = sign(body);
			const received = Buffer.from(signature, 'base64url');
			if (received.length !== expected.length || !timingSafeEqual(received, expected)) {
				return undefined;
			}

			const fields = schema.safeParse(parseJson(Buffer.from(body, 'base64url').toString('utf8')));
			if (!fields.success) {
				return undefined;
			}

			const [workspace, database, term, position] = fields.data;
			return {workspace, database, point: {term, position}};
		},
	};
}

/** Parses JSON; undefined if the text is none. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
