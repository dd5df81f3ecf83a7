import type {loadClasses} from './load-classes.ts';

/** A class of requests. */
export type LoadClass = typeof loadClasses[number];
