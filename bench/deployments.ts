import type {Deployment} from './deployment.ts';

type RequestMix = {readonly write: number; readonly latest: number; readonly session: number; readonly within: number};

/** Requests a second of a small and of a large workspace, on average. */
const smallRequestRate = 5;
const largeRequestRate = 20;
const workspaceCount = 8;
const largeWorkspaceCount = 2;

/** Factor by which a workspace's rate exceeds its average load. */
const rateHeadroom = 1.6;

/** Size of a workspace's burst, in seconds of its rate. */
const burstSeconds = 4;

/**
 * The deployments that are measured. Most reads of the cooperative's members accept stale data; Kulebane's teachers place
 * an order and amend it in one session, which takes more writes, session reads and latest reads.
 */
export const deployments: readonly Deployment[] = [
	{
		name: 'cooperative',
		zoneDelay: 3,
		databases: ['ponds', 'crews', 'credits'],
		slots: 5,
		connectionLimit: 35,
		workspaces: createWorkspaces('ponds crews credits', {
			write: 0.1, latest: 0.02, session: 0.13, within: 0.75,
		}),
	},
	{
		name: 'kulebane',
		zoneDelay: 5,
		databases: ['orders', 'stock', 'parcels'],
		slots: 3,
		connectionLimit: 40,
		workspaces: createWorkspaces('orders stock parcels', {
			write: 0.2, latest: 0.1, session: 0.3, within: 0.4,
		}),
	},
];

function createWorkspaces(databaseNames: string, mix: RequestMix): Deployment['workspaces'] {
	const databases = databaseNames.split(' ');
	const cost = (mix.write * 4) + (mix.latest * 4) + (mix.session * 2) + mix.within;
	return Array.from({length: workspaceCount}, (_, index) => {
		const offered = index < largeWorkspaceCount ? largeRequestRate : smallRequestRate;
		const rate = offered * cost * rateHeadroom;
		return {
			name: `w${index + 1}`,
			key: `Key-Of-W${index + 1}`,
			database: databases[index % databases.length] ?? '',
			offered,
			rate,
			burst: rate * burstSeconds,
			sessions: 8,
			...mix,
			age: 10_000,
		};
	});
}
