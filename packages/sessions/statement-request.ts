import type {ClientRequest} from './client-request.ts';

/** A caller's request to run a statement. */
export type StatementRequest = Extract<ClientRequest, {readonly kind: 'statement'}>;
