/** A connection that a host has accepted. */
type AdmittedConnection = {
	/** Closes the connection for another one that needs its place. */
	readonly giveWay: () => void;
};

/** Decides which connections a host keeps at a port. */
type ConnectionAdmission = {
	/** Takes a new connection; returns false if there is no place for it. */
	readonly admit: (connection: AdmittedConnection) => boolean;
	/** Keeps the place of a connection from now on, whose session has started. */
	readonly keep: (connection: AdmittedConnection) => void;
	/** Sets whether a connection that is kept has stalled, so that it may give way. */
	readonly setStalled: (connection: AdmittedConnection, isStalled: boolean) => void;
	readonly remove: (connection: AdmittedConnection) => void;
	readonly count: () => number;
};

/**
 * Creates the decision which connections a host keeps at a port.
 *
 * A new connection beyond the limit takes the place of the one that has gone for longest without the start of its session,
 * or of the one that has stalled for longest, so that neither keeps out other clients. There is no place if all sessions
 * have started and none has stalled.
 */
export function createConnectionAdmission(limit: number): ConnectionAdmission {
	/** Connections without a started session, the oldest first. */
	const waiting = new Set<AdmittedConnection>();
	/** Connections that have stalled, the one that did so first at the start. */
	const stalled = new Set<AdmittedConnection>();
	const kept = new Set<AdmittedConnection>();
	const count = () => waiting.size + stalled.size + kept.size;

	const remove = (connection: AdmittedConnection) => {
		waiting.delete(connection);
		stalled.delete(connection);
		kept.delete(connection);
	};

	return {
		admit(connection) {
			if (count() >= limit) {
				const [oldest] = waiting.size > 0 ? waiting : stalled;
				if (oldest === undefined) {
					return false;
				}

				remove(oldest);
				oldest.giveWay();
			}

			waiting.add(connection);
			return true;
		},
		keep(connection) {
			if (waiting.delete(connection)) {
				kept.add(connection);
			}
		},
		setStalled(connection, isStalled) {
			const from = isStalled ? kept : stalled;
			if (from.delete(connection)) {
				(isStalled ? stalled : kept).add(connection);
			}
		},
		remove,
		count,
	};
}
