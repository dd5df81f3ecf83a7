import type {Interceptor} from '@connectrpc/connect';

/** Creates an interceptor that sends a bearer token with each call; an empty token is not sent. */
export function createTokenInterceptor(token: string): Interceptor {
	return next => async request => {
		if (token !== '') {
			request.header.set('authorization', `Bearer ${token}`);
		}

		return next(request);
	};
}
