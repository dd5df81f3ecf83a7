/** How a primary is lost. */
export type PrimaryFault = 'kill' | 'cut' | 'freeze';
