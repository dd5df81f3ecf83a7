/**
 * How the instances of an availability zone may be used: `open` if it is not evacuated. While it is `leaving`, transactions go
 * on, and the primary is used until it is replaced. While it is `ending`, open transactions are rolled back. Once it is
 * `closed`, nothing is sent.
 */
export type ZonePhase = 'open' | 'leaving' | 'ending' | 'closed';
