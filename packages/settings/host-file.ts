import type {z} from 'zod';
import type {hostSchema} from './host-schema.ts';

/** Parsed settings file of an entry host, validated and with defaults applied. */
export type HostFile = z.infer<typeof hostSchema>;
