import type {Interceptor} from '@connectrpc/connect';

/** Creates what shows a token with each call; empty for none. */
export function createTokenInterceptor(token: string): Interceptor {
	return next => async request => {
		if (token !== '') {
			request.header.set('authorization', `Bearer ${token}`);
		}

		return next(request);
	};
}
