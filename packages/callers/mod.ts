/** Server side of the caller protocol: decodes requests, encodes answers, and signs session tokens. */
export * from './create-caller-handler.ts';
export * from './create-session-codec.ts';
export * from './decode-request.ts';
export * from './encode-answer.ts';
export type * from './session-codec.ts';
