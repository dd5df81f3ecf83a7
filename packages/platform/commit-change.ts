import {Buffer} from 'node:buffer';
import {
	applyChange, resultCodes, type Change, type Configuration, type FleetConfiguration, type ResultCode,
} from '@sapphirefall/decisions';
import {configurationRowName} from './configuration-row-name.ts';
import {describeChange} from './describe-change.ts';
import {formatConfiguration} from './format-configuration.ts';
import {parseConfigurationRow} from './parse-configuration-row.ts';
import {readConfigurationBody} from './read-configuration-body.ts';
import type {CommitOutcome} from './commit-outcome.ts';
import type {ConfigurationHead} from './configuration-head.ts';
import type {PlatformClient} from './platform-client.ts';

type RequestedChange = {
	readonly change: Change;
	/** Identifies the change, so that a retry after a lost answer finds out whether it was committed. */
	readonly changeId: string;
	/** Version that the change is based on; 0 stands for the newest. */
	readonly basedOn: number;
	/** Id of this host. */
	readonly host: string;
};

/** The present table row and the configuration that it refers to. */
type CurrentState = {
	readonly rowVersion: number;
	readonly head: ConfigurationHead;
	readonly configuration: Configuration;
};

/** Maximum number of attempts. A change that is based on no version is retried when a concurrent change is committed first. */
const maxAttempts = 8;

/** Number of changes kept in the row, to tell an operator with an outdated version what changed since. */
const maxKeptChanges = 50;

/**
 * Commits an operator's change with a compare-and-set on the version of the table row.
 *
 * When the answer to the write is lost, the next attempt reads the row. The change was committed if the row holds
 * its identifier.
 *
 * @param platform Client of the platform.
 * @param requested The change, its identifier, the version that it is based on, and this host.
 */
export async function commitChange(platform: PlatformClient, requested: RequestedChange): Promise<CommitOutcome> {
	let wasAttempted = false;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		let current: CurrentState;
		try {
			current = await readCurrent(platform); // eslint-disable-line no-await-in-loop -- attempts run one after another
		} catch {
			return wasAttempted
				? createRefusal(resultCodes.storeAnswerLost, 'the store did not answer; the change may have been made', 0)
				: createRefusal(resultCodes.storeUnavailable, 'the store does not answer; nothing was changed', 0);
		}

		const committed = current.head.changes.find(({changeId}) => changeId === requested.changeId);
		if (committed !== undefined) {
			return {kind: 'committed', fleet: createFleetConfiguration(current, current.rowVersion)};
		}

		const refusal = checkAcceptor(current, requested) ?? checkBase(current, requested);
		if (refusal !== undefined) {
			return refusal;
		}

		const outcome = applyChange(current.configuration, requested);
		if (outcome.kind === 'refused') {
			return createRefusal(outcome.code, outcome.reason, current.configuration.version);
		}

		wasAttempted = true;
		// eslint-disable-next-line no-await-in-loop -- attempts run one after another
		if (await writeNext(platform, {current, requested, configuration: outcome.configuration})) {
			return {kind: 'committed', fleet: createFleetConfiguration({...current, configuration: outcome.configuration}, current.rowVersion + 1)};
		}
	}

	return createRefusal(resultCodes.versionConflict, 'other changes went first each time', 0);
}

function createRefusal(code: ResultCode, reason: string, version: number): CommitOutcome {
	return {
		kind: 'refused', code, reason, version,
	};
}

/** Combines the configuration and the roster with the version of the row. */
function createFleetConfiguration(current: CurrentState, rowVersion: number): FleetConfiguration {
	return {configuration: current.configuration, roster: {...current.head.roster, head: rowVersion}};
}

/** Refuses a change at a host that is not an acceptor, since other hosts do not wait for its confirmation. */
function checkAcceptor(current: CurrentState, requested: RequestedChange): CommitOutcome | undefined {
	const {acceptors} = current.head.roster;
	return acceptors.length === 0 || acceptors.includes(requested.host)
		? undefined
		: createRefusal(resultCodes.acceptorElsewhere, `changes enter through ${acceptors.join(', ')}`, current.configuration.version);
}

async function readCurrent(platform: PlatformClient): Promise<CurrentState> {
	const row = await platform.readRow(configurationRowName);
	const head = parseConfigurationRow(row);
	return {rowVersion: row.version, head, configuration: await readConfigurationBody(platform, head.object)};
}

/** Refuses a change that is based on another version than the present one, and lists what changed since. */
function checkBase(current: CurrentState, requested: RequestedChange): CommitOutcome | undefined {
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

/** Writes the next version. Returns `false` when another change was committed first or the answer was lost. */
async function writeNext(
	platform: PlatformClient,
	next: {readonly current: CurrentState; readonly requested: RequestedChange; readonly configuration: Configuration},
): Promise<boolean> {
	const {current, requested, configuration} = next;
	const object = `configuration/${configuration.version}-${requested.changeId}`;
	const summary = describeChange(requested.change);
	const entry = {version: configuration.version, changeId: requested.changeId, summary};
	const head: ConfigurationHead = {...current.head, object, changes: [...current.head.changes, entry].slice(-maxKeptChanges)};
	try {
		await platform.writeObject(object, Buffer.from(formatConfiguration(configuration)));
		const written = await platform.writeRow(configurationRowName, {
			expectedVersion: current.rowVersion, value: JSON.stringify(head),
		});
		return written.isWritten;
	} catch {
		return false;
	}
}
