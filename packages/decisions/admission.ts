import type {AdmittedRequest} from './admitted-request.ts';
import type {Answer} from './answer.ts';

/** What becomes of a request at the door. */
export type Admission =
	| {readonly kind: 'admitted'; readonly request: AdmittedRequest}
	| {readonly kind: 'refused'; readonly answer: Answer};
