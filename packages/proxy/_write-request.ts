import type {AdmittedRequest} from '@sapphirefall/decisions';

/** An admitted write. */
export type WriteRequest = AdmittedRequest & {readonly work: {readonly kind: 'write'}};
