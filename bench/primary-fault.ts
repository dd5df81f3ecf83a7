/** Fault that makes a primary fail: its process is killed, cut off from all zones, or paused. */
export type PrimaryFault = 'kill' | 'cut' | 'freeze';
