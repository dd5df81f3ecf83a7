import type {z} from 'zod';
import type {hostSchema} from './host-schema.ts';

/** The settings of one entry host, checked and with defaults filled in. */
export type HostFile = z.infer<typeof hostSchema>;
