import type {HostEffect} from './host-effect.ts';
import type {HostState} from './host-state.ts';

/** The state of a host after an event, and the actions that follow. */
export type HostStep = {readonly state: HostState; readonly effects: readonly HostEffect[]};
