import type {SessionMetrics} from './session-metrics.ts';
import type {Store} from './store.ts';

/** Creates a store that forwards each call to another one and counts it by kind and result. */
export function createInstrumentedStore(store: Store, calls: SessionMetrics['storeCalls']): Store {
	return {
		async read(table) {
			const outcome = await store.read(table);
			calls.inc({kind: `read ${table}`, result: outcome.kind});
			return outcome;
		},
		async follow(table, options) {
			const outcome = await store.follow(table, options);
			calls.inc({kind: `follow ${table}`, result: outcome.kind});
			return outcome;
		},
		async commit(change) {
			const outcome = await store.commit(change);
			calls.inc({kind: 'commit', result: outcome.kind});
			return outcome;
		},
	};
}
