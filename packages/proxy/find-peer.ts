import type {Peer} from '@sapphirefall/hosts';

/** Finds the client of another host by its identifier; undefined when the platform's list does not contain the host. */
export type FindPeer = (id: string) => Peer | undefined;
