/** Classes of requests, which differ in cost and in what is checked. */
export type LoadClass = 'write' | 'latest' | 'session' | 'within';
