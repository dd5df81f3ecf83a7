import type {loadClasses} from './load-classes.ts';

/** One of the classes of requests. */
export type LoadClass = typeof loadClasses[number];
