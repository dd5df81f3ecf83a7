import type {AdmittedRequest} from '@sapphirefall/decisions';

/** An admitted request that writes. */
export type WriteRequest = AdmittedRequest & {readonly work: {readonly kind: 'write'}};
