import type {AdmittedRequest} from './admitted-request.ts';
import type {Answer} from './answer.ts';

/** The outcome of admission: the request to run, or the answer that refuses it. */
export type Admission =
	| {readonly kind: 'admitted'; readonly request: AdmittedRequest}
	| {readonly kind: 'refused'; readonly answer: Answer};
