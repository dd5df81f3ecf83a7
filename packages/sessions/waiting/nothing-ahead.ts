import type {WorkAhead} from './work-ahead.ts';

/** No request is served before. */
export const nothingAhead: WorkAhead = {count: 0, serviceMs: 0};
