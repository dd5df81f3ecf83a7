/** Callers as a peer: requests in, answers out. */
export * from './create-caller-handler.ts';
export * from './create-session-codec.ts';
export * from './decode-request.ts';
export * from './encode-answer.ts';
export type * from './session-codec.ts';
