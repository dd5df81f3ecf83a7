/** How a primary is lost. */
export type FailoverKind = 'kill' | 'cut' | 'freeze';
