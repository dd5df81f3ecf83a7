import type {WorkspaceDemand} from './workspace-demand.ts';

/** Milliseconds after which a request counts half. */
const halfLifeMs = 2000;

/** Workspaces that are remembered; those that asked least recently are dropped first. */
const maxWorkspaces = 1000;

/** Creates the record of demand; there is none at first. Times are in milliseconds of the steady clock. */
export function createWorkspaceDemand(): WorkspaceDemand {
	const demands = new Map<string, {readonly requests: number; readonly at: number}>();

	const findRecent: WorkspaceDemand['findRecent'] = (workspace, now) => {
		const known = demands.get(workspace);
		return known === undefined ? 0 : known.requests * (0.5 ** ((now - known.at) / halfLifeMs));
	};

	return {
		record(workspace, now) {
			const requests = findRecent(workspace, now) + 1;
			// Insertion order tells which workspace asked least recently.
			demands.delete(workspace);
			demands.set(workspace, {requests, at: now});
			const [oldest] = demands.keys();
			if (demands.size > maxWorkspaces && oldest !== undefined) {
				demands.delete(oldest);
			}
		},
		findRecent,
	};
}
