import type {z} from 'zod';
import type {declarationSchema} from './declaration-schema.ts';

/** A declaration as its file has it. */
export type DeclarationFile = z.infer<typeof declarationSchema>;
