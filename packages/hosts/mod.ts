/** Other entry hosts as a peer: exchange, confirmation and forwarding. */
export * from './create-host-service.ts';
export * from './create-peer.ts';
export * from './decode-exchange.ts';
export * from './encode-exchange.ts';
export type * from './exchange-content.ts';
export type * from './peer.ts';
