/** What an instance does in its term. A fenced instance has granted a term and serves neither writes nor reads. */
export type InstanceRole = 'primary' | 'replica' | 'fenced';
