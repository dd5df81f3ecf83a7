import type {InstanceConnection} from '../instance-connection.ts';

/** Watches a host's connections to an instance, to tell when the instance may have started again. */
type ConnectionWatch = {
	/** Adds a connection that was opened; returns it so that the watch knows when the host itself closes it. */
	readonly add: (connection: InstanceConnection) => InstanceConnection;
	/** Records that a connection could not be opened. */
	readonly recordFailedOpen: () => void;
	/** Records that an answer did not come, after which the host closes the connection. */
	readonly recordLostAnswer: () => void;
	/** Whether the instance was lost since the last call: nothing was accepted, or no connection is left and one was lost. */
	readonly takeLoss: () => boolean;
};

/** Creates the watch of the connections to an instance; there are none at first. */
export function createConnectionWatch(): ConnectionWatch {
	const connections = new Set<InstanceConnection>();
	let hasFailedOpen = false;
	let hasLost = false;

	const drop = (connection: InstanceConnection) => {
		connections.delete(connection);
		hasLost ||= connection.isClosed();
	};

	return {
		add(connection) {
			connections.add(connection);
			return {
				...connection,
				close() {
					if (connections.has(connection)) {
						drop(connection);
					}

					connection.close();
				},
			};
		},
		recordFailedOpen() {
			hasFailedOpen = true;
		},
		recordLostAnswer() {
			hasLost = true;
		},
		takeLoss() {
			for (const connection of connections) {
				if (connection.isClosed()) {
					drop(connection);
				}
			}

			const isLoss = hasFailedOpen || (hasLost && connections.size === 0);
			hasFailedOpen = false;
			hasLost = false;
			return isLoss;
		},
	};
}
