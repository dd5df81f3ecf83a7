import type {ConnectionLimits} from './connection-limits.ts';
import type {MachineLimits} from './machine-limits.ts';

/** Descriptors that stay free of connections, for files and pipes. */
const reservedDescriptors = 200;

/**
 * Shares of the other descriptors. What they leave is for connections that the host opens: to the store, other hosts and
 * instances. All hosts of a large fleet connect to one that allocates rates.
 */
const descriptorShares = {callers: 0.72, hosts: 0.25};

/** Connections of other hosts that are always accepted. */
const minHostConnections = 32;

/** Connections of readiness checks, which come once a second, and of readers of metrics. */
const monitoringConnections = 64;

/** Share of the memory that connections of callers may take, and the bytes of one with what is not counted of its messages. */
const callerMemory = {share: 0.5, bytes: 24 * 1024};

/** Finds the largest numbers of connections that a host accepts from the limits of its machine. */
export function findConnectionLimits({descriptors, memoryBytes}: MachineLimits): ConnectionLimits {
	const connections = Math.max(0, descriptors - reservedDescriptors);
	return {
		callers: Math.floor(Math.min(connections * descriptorShares.callers, memoryBytes * callerMemory.share / callerMemory.bytes)),
		hosts: Math.max(minHostConnections, Math.floor(connections * descriptorShares.hosts)),
		monitoring: monitoringConnections,
	};
}
