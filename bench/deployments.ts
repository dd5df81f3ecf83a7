import type {Deployment} from './deployment.ts';

type Mix = {readonly write: number; readonly latest: number; readonly session: number; readonly within: number};

const smallOffered = 5;
const largeOffered = 20;
const workspacesEach = 8;
const largeEach = 2;

/** Room of a workspace's rate over what it offers on average. */
const rateRoom = 1.6;

/** Seconds of its rate that a workspace's burst holds. */
const burstSeconds = 4;

/** The cooperative's members are patient; Kulebane's teachers order and amend in one sitting. */
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

function createWorkspaces(databaseNames: string, mix: Mix): Deployment['workspaces'] {
	const databases = databaseNames.split(' ');
	const cost = (mix.write * 4) + (mix.latest * 4) + (mix.session * 2) + mix.within;
	return Array.from({length: workspacesEach}, (_, index) => {
		const offered = index < largeEach ? largeOffered : smallOffered;
		const rate = offered * cost * rateRoom;
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
