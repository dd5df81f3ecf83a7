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
	/** Sets whether a connection that is kept has stalled, or does nothing that it would lose, so that it may give way. */
	readonly setStalled: (connection: AdmittedConnection, isStalled: boolean) => void;
	/** Lets a connection give way before all others, whose session has ended. */
	readonly end: (connection: AdmittedConnection) => void;
	readonly remove: (connection: AdmittedConnection) => void;
	readonly count: () => number;
};

/**
 * Creates the decision which connections a host keeps at a port.
 *
 * A new connection beyond the limit takes the place of one whose session has ended, else of the one that has gone for
 * longest without the start of its session, else of the one that has stalled for longest, so that none of them keeps out
 * other clients. There is no place if all sessions are open and none has stalled.
 */
export function createConnectionAdmission(limit: number): ConnectionAdmission {
	/** Connections whose session has ended, which stay until their last answers have arrived. */
	const ended = new Set<AdmittedConnection>();
	/** Connections without a started session, the oldest first. */
	const waiting = new Set<AdmittedConnection>();
	/** Connections that have stalled, the one that did so first at the start. */
	const stalled = new Set<AdmittedConnection>();
	const kept = new Set<AdmittedConnection>();
	const groups = [ended, waiting, stalled, kept];
	const count = () => ended.size + waiting.size + stalled.size + kept.size;

	/** Removes a connection; returns whether it had a place. */
	const removeFromGroup = (connection: AdmittedConnection) => groups.some(group => group.delete(connection));

	const remove = (connection: AdmittedConnection) => {
		removeFromGroup(connection);
	};

	return {
		admit(connection) {
			if (count() >= limit) {
				const [oldest] = [ended, waiting, stalled].find(({size}) => size > 0) ?? [];
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
		end(connection) {
			if (removeFromGroup(connection)) {
				ended.add(connection);
			}
		},
		remove,
		count,
	};
}
