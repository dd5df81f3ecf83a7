import {Buffer} from 'node:buffer';
import {
	applyChange, resultCodes, type Change, type Configuration, type FleetConfiguration, type ResultCode,
} from '@sapphirefall/decisions';
import {configurationRowName} from './configuration-row-name.ts';
import {describeChange} from './describe-change.ts';
import {parseConfigurationRow} from './parse-configuration-row.ts';
import {readConfigurationBody} from './read-configuration-body.ts';
import type {CommitOutcome} from './commit-outcome.ts';
import type {ConfigurationHead} from './configuration-head.ts';
import type {PlatformClient} from './platform-client.ts';

type Requested = {
	readonly change: Change;
	/** Names the change, so that a lost answer can be settled. */
	readonly changeId: string;
	/** Version that the change was based on; 0 for the newest. */
	readonly basedOn: number;
	/** This host. */
	readonly host: string;
};

/** The table row as it is now, and the configuration that it names. */
type Current = {
	readonly rowVersion: number;
	readonly head: ConfigurationHead;
	readonly configuration: Configuration;
};

/** Attempts at a change that names no version, while others commit theirs. */
const attemptLimit = 8;

/** Changes that the row tells of, for an operator whose change lost. */
const changesKept = 50;

/**
 * Commits an operator's change with a compare-and-set on the configuration's version.
 *
 * When the answer to the write is lost, the row is read back: the change's identifier in it settles the matter.
 *
 * @param platform The platform.
 * @param requested The change, its identifier, and the version it was based on.
 */
export async function commitChange(platform: PlatformClient, requested: Requested): Promise<CommitOutcome> {
	let wasWritten = false;
	for (let attempt = 0; attempt < attemptLimit; attempt++) {
		let current: Current;
		try {
			current = await readCurrent(platform); // eslint-disable-line no-await-in-loop -- attempts follow each other
		} catch {
			return wasWritten
				? createRefusal(resultCodes.storeAnswerLost, 'the store did not answer; the change may have been made', 0)
				: createRefusal(resultCodes.storeUnavailable, 'the store does not answer; nothing was changed', 0);
		}

		const made = current.head.changes.find(({changeId}) => changeId === requested.changeId);
		if (made !== undefined) {
			return {kind: 'committed', fleet: createFleet(current, current.rowVersion)};
		}

		const refusal = checkAcceptor(current, requested) ?? checkBase(current, requested);
		if (refusal !== undefined) {
			return refusal;
		}

		const outcome = applyChange(current.configuration, requested);
		if (outcome.kind === 'refused') {
			return createRefusal(outcome.code, outcome.reason, current.configuration.version);
		}

		wasWritten = true;
		// eslint-disable-next-line no-await-in-loop -- attempts follow each other
		if (await writeNext(platform, {current, requested, configuration: outcome.configuration})) {
			return {kind: 'committed', fleet: createFleet({...current, configuration: outcome.configuration}, current.rowVersion + 1)};
		}
	}

	return createRefusal(resultCodes.versionConflict, 'other changes went first each time', 0);
}

function createRefusal(code: ResultCode, reason: string, version: number): CommitOutcome {
	return {
		kind: 'refused', code, reason, version,
	};
}

/** Joins what the row names with the row's version. */
function createFleet(current: Current, rowVersion: number): FleetConfiguration {
	return {configuration: current.configuration, roster: {...current.head.roster, head: rowVersion}};
}

/** Refuses a change at a host that is no acceptor, since other hosts do not wait for its word. */
function checkAcceptor(current: Current, requested: Requested): CommitOutcome | undefined {
	const {acceptors} = current.head.roster;
	return acceptors.length === 0 || acceptors.includes(requested.host)
		? undefined
		: createRefusal(resultCodes.acceptorElsewhere, `changes enter through ${acceptors.join(', ')}`, current.configuration.version);
}

async function readCurrent(platform: PlatformClient): Promise<Current> {
	const row = await platform.readRow(configurationRowName);
	const head = parseConfigurationRow(row);
	return {rowVersion: row.version, head, configuration: await readConfigurationBody(platform, head.object)};
}

/** Refuses a change that was based on an older version, and tells what changed since. */
function checkBase(current: Current, requested: Requested): CommitOutcome | undefined {
	if (requested.basedOn === 0 || requested.basedOn === current.configuration.version) {
		return undefined;
	}

	const since = current.head.changes
		.filter(({version}) => version > requested.basedOn)
		.map(({version, summary}) => `${version}: ${summary}`);
	return createRefusal(
		resultCodes.versionConflict,
		`version ${current.configuration.version} is in force, not ${requested.basedOn}; changed since: ${since.join('; ')}`,
		current.configuration.version,
	);
}

/** Writes the next version; false when another change went first or the answer was lost. */
async function writeNext(
	platform: PlatformClient,
	next: {readonly current: Current; readonly requested: Requested; readonly configuration: Configuration},
): Promise<boolean> {
	const {current, requested, configuration} = next;
	const object = `configuration/${configuration.version}-${requested.changeId}`;
	const summary = describeChange(requested.change);
	const entry = {version: configuration.version, changeId: requested.changeId, summary};
	const head: ConfigurationHead = {...current.head, object, changes: [...current.head.changes, entry].slice(-changesKept)};
	try {
		await platform.writeObject(object, Buffer.from(JSON.stringify(configuration)));
		const written = await platform.writeRow(configurationRowName, {
			expectedVersion: current.rowVersion, value: JSON.stringify(head),
		});
		return written.isWritten;
	} catch {
		return false;
	}
}
