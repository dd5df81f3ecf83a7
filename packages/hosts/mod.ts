/** Calls between hosts, client and server: exchanges, loans, confirmations, forwarded requests and session calls. */
export type * from './bucket-handover.ts';
export * from './create-fleet-peer.ts';
export * from './create-forwarder.ts';
export * from './create-host-channel.ts';
export * from './create-host-service.ts';
export * from './create-peer.ts';
export * from './decode-exchange.ts';
export * from './decode-forward-answer.ts';
export * from './decode-forward.ts';
export * from './encode-exchange.ts';
export * from './encode-forward-answer.ts';
export * from './encode-forward.ts';
export type * from './exchange-content.ts';
export * from './execute-forward.ts';
export type * from './loan-grant.ts';
export type * from './loan-request.ts';
export type * from './peer.ts';
export * from './serve-fleet.ts';
