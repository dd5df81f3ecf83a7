import type {Client} from '@connectrpc/connect';
import type {CallerService} from '@sapphirefall/wire';

/** Client of a host's caller interface with the key of one workspace. */
export type LoadCaller = Client<typeof CallerService>;
