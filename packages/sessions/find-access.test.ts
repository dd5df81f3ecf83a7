import {expect} from 'chai';
import {findAccess} from './find-access.ts';
import {hashKey} from './hash-key.ts';

const route = {
	database: 'ponds', group: 'pondbook', freshness: 'latest', maxStaleness: 0, statementTimeout: 1000, targetLatency: 200, priority: 1, isPublic: false,
} as const;

const cached = {
	configuration: {
		version: 7,
		routes: new Map([['ponds', route], ['open', {...route, database: 'open', isPublic: true}]]),
		connectionLimits: new Map([['pondbook', 34]]),
		workspaceByKeyDigest: new Map([[hashKey('good'), 'upper']]),
		limits: new Map([['upper', {rate: 10, burst: 10}]]),
		synchronousGroups: new Set<string>(),
		warmupLimits: new Map(),
		allowedRegions: new Map([['upper', new Set(['east'])]]),
		transactionIdleLimit: 3000,
	},
	confirmedAt: {steady: 0, wall: 0},
};

describe('findAccess', () => {
	const cases = [
		{
			name: 'allows a key of a workspace', database: 'ponds', key: 'good', now: 100, expected: 'upper',
		},
		{
			name: 'refuses an unknown key', database: 'ponds', key: 'bad', now: 100, expected: 'badKey',
		},
		{
			name: 'refuses an unknown database', database: 'lakes', key: 'good', now: 100, expected: 'noDatabase',
		},
		{
			name: 'allows a key until shortly before a revocation must take effect', database: 'ponds', key: 'good', now: 4599, expected: 'upper',
		},
		{
			name: 'refuses a key that may have been withdrawn', database: 'ponds', key: 'good', now: 4600, expected: 'busy',
		},
		{
			name: 'answers busy for an unknown key that may have been added lately', database: 'ponds', key: 'bad', now: 2600, expected: 'busy',
		},
		{
			name: 'answers busy for an unknown database that may have been added lately', database: 'lakes', key: 'good', now: 2600, expected: 'busy',
		},
		{
			name: 'allows every caller on a public route, however stale the configuration is', database: 'open', key: 'bad', now: 60_000, expected: 'public',
		},
	];
	for (const {name, database, key, now, expected} of cases) {
		it(name, () => {
			const access = findAccess(cached, {
				database, keyDigest: hashKey(key), revocationLimitMs: 5000, configurationLimitMs: 3000, now: {steady: now, wall: 0},
			});
			expect(access.kind === 'allowed' ? access.workspace : access.code).to.equal(expected);
		});
	}

	// A statement of a restricted workspace ran where only the route's own list allowed it.
	it('finds the regions that both the route and the workspace allow', () => {
		const restricted = {
			...cached, configuration: {...cached.configuration, routes: new Map([['ponds', {...route, allowedRegions: new Set(['east', 'north'])}]])},
		};
		const access = findAccess(restricted, {
			database: 'ponds', keyDigest: hashKey('good'), revocationLimitMs: 5000, configurationLimitMs: 3000, now: {steady: 100, wall: 0},
		});
		expect(access).to.deep.include({kind: 'allowed', allowedRegions: new Set(['east'])});
	});

	it('answers busy before the first configuration has been read', () => {
		expect(findAccess(undefined, {
			database: 'ponds', keyDigest: hashKey('good'), revocationLimitMs: 5000, configurationLimitMs: 3000, now: {steady: 0, wall: 0},
		})).to.include({kind: 'denied', code: 'busy'});
	});
});
