/** Role of an instance in its term. A fenced instance has granted a term and serves neither reads nor writes. */
export type InstanceRole = 'primary' | 'replica' | 'fenced';
