/** Why a host refused or closed a connection to keep to its limits. */
export type ConnectionClose = 'noPlace' | 'gaveWay' | 'memory' | 'overdue';
