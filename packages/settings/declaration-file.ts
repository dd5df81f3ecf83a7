import type {z} from 'zod';
import type {declarationSchema} from './declaration-schema.ts';

/** Parsed content of a declaration file. */
export type DeclarationFile = z.infer<typeof declarationSchema>;
