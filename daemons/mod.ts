/** The command line. */
export * from './command-error.ts';
