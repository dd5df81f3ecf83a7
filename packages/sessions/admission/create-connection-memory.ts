import type {MemoryHolder} from './memory-holder.ts';

/** Bytes that a connection may hold without being counted; most hold less. */
const freeBytes = 16 * 1024;

/** Counts the bytes that connections hold. */
type ConnectionMemory = {
	/** Sets the bytes that a connection holds now. */
	readonly update: (holder: MemoryHolder, bytes: number) => void;
	/** Returns the bytes that all connections hold beyond those that are not counted. */
	readonly heldBytes: () => number;
};

/**
 * Creates the count of the bytes that connections hold for one purpose.
 *
 * Beyond the limit the connection is evicted that has held memory for longest, so that one that holds it for a moment is
 * served.
 */
export function createConnectionMemory(limitBytes: number): ConnectionMemory {
	/** Bytes of each connection, the one that has held memory for longest first. */
	const holders = new Map<MemoryHolder, number>();
	let held = 0;

	const remove = (holder: MemoryHolder) => {
		held -= holders.get(holder) ?? 0;
		holders.delete(holder);
	};

	return {
		update(holder, bytes) {
			if (bytes <= freeBytes) {
				remove(holder);
				return;
			}

			held += bytes - (holders.get(holder) ?? 0);
			holders.set(holder, bytes);
			for (const oldest of holders.keys()) {
				if (held <= limitBytes) {
					return;
				}

				remove(oldest);
				oldest.evict();
			}
		},
		heldBytes: () => held,
	};
}
