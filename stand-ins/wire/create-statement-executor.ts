import {findWrite} from './find-write.ts';
import type {InstanceConnectionState} from './instance-connection-state.ts';
import type {InstanceLog} from './instance-log.ts';

type Options = {
	/** Identifier of the instance, which is its signature as well. */
	readonly id: string;
	readonly log: InstanceLog;
	readonly countConnections: () => number;
	/** Whether requests for the status are refused. */
	readonly isStatusRefused: () => boolean;
};

/** Runs a statement on a connection and returns the lines of its answer, without the state and position at its end. */
type ExecuteStatement = (connection: InstanceConnectionState, text: string) => readonly string[];

/** Runs a statement, or one kind of statement, given the words of its text, or those after the first one. */
type Command = (connection: InstanceConnectionState, words: readonly string[]) => readonly string[];

const done = ['COMPLETE -'];

/** Creates the function that runs statements at a simulated instance. */
export function createStatementExecutor({
	id, log, countConnections, isStatusRefused,
}: Options): ExecuteStatement {
	const readOnly = [`ERROR READONLY ${id}`];
	const signed = [`COMPLETE ${id}`];
	const busy = [`ERROR BUSY ${id}`];

	const begin: Command = (connection, [mode]) => {
		const isReadOnly = mode === 'READ';
		if (!isReadOnly && log.role() !== 'primary') {
			return readOnly;
		}

		connection.state = 'T';
		connection.isReadOnly = isReadOnly;
		return done;
	};

	const takeWrites = (connection: InstanceConnectionState) => {
		const {writes} = connection;
		connection.writes = [];
		return writes;
	};

	const endTransaction = (connection: InstanceConnectionState) => {
		connection.state = 'I';
		connection.isReadOnly = false;
	};

	const commit: Command = connection => {
		const writes = takeWrites(connection);
		if (writes.length > 0 && log.role() !== 'primary') {
			connection.state = 'E';
			return readOnly;
		}

		if (writes.length > 0) {
			log.commit(writes);
		}

		endTransaction(connection);
		return signed;
	};

	const rollBack: Command = connection => {
		takeWrites(connection);
		endTransaction(connection);
		return done;
	};

	/** Whether a plain transaction is open whose instance has lost the lead. */
	const hasLostLead = ({state, isReadOnly}: InstanceConnectionState) => state === 'T' && !isReadOnly && log.role() !== 'primary';

	const read: Command = (connection, [item = '']) => {
		if (log.isBusy()) {
			return busy;
		}

		if (hasLostLead(connection)) {
			connection.state = 'E';
			return readOnly;
		}

		return readItem(connection, item);
	};

	const readItem = ({writes}: InstanceConnectionState, item: string) => [`DATAROW ${findWrite(writes, item)?.[1] ?? log.readValue(item)}`, ...signed];

	const write: Command = (connection, [item = '', data = '']) => {
		if (log.role() !== 'primary' || connection.isReadOnly) {
			connection.state = connection.state === 'T' ? 'E' : connection.state;
			return readOnly;
		}

		if (connection.state === 'T') {
			connection.writes.push([item, data]);
		} else {
			log.commit([[item, data]]);
		}

		return signed;
	};

	const describeStatus = () => [`DATAROW ${log.role()} ${log.term()} ${log.receivedPosition()} 0 0 0 ${countConnections()}`, ...done];

	const readStatus: Command = () => isStatusRefused() ? busy : describeStatus();

	const commands: ReadonlyMap<string, Command> = new Map<string, Command>([
		['BEGIN', begin],
		['COMMIT', commit],
		['ROLLBACK', rollBack],
		['READ', read],
		['WRITE', write],
		['STATUS', readStatus],
		['AFTER', (connection, [position = '', ...words]) => log.hasPosition(position) ? execute(connection, words) : [`ERROR LAGGING ${id}`]],
		['EXECUTE', (connection, [name = '', ...words]) => {
			const access = connection.prepared.get(name);
			return access === undefined ? ['ERROR NOSTMT no such name'] : execute(connection, [access, ...words]);
		}],
		['SET', ({variables}, [name = '', value = '']) => {
			variables.set(name, value);
			return done;
		}],
		['PREPARE', ({prepared}, [name = '', access = '']) => {
			prepared.set(name, access);
			return done;
		}],
		['RESET', ({variables, prepared}) => {
			variables.clear();
			prepared.clear();
			return done;
		}],
		['STEPDOWN', (_connection, words) => {
			log.stepDown(Number(words[0]));
			return describeStatus();
		}],
	]);

	const execute: Command = (connection, [command = '', ...words]) =>
		commands.get(command)?.(connection, words) ?? ['ERROR MALFORMED what'];

	return (connection, text) => execute(connection, text.split(' '));
}
