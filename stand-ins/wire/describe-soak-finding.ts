import type {SoakFinding} from './soak-finding.ts';

/** Messages of the session before and after the one of the finding, and log lines, that are shown. */
const shownCounts = {messages: 4, lines: 12};

const maxTextLength = 100;

/** Describes a finding, with the messages of its session around it and the log lines of the host that name the session or the statement. `startedAt` is the zero of the times. */
export function describeSoakFinding({rule, what, session, message}: SoakFinding, startedAt: number): string {
	if (session === undefined) {
		return `${rule}: ${what}`;
	}

	const at = (time: number) => Math.round(time - startedAt);
	const index = message === undefined ? session.messages.length : session.messages.indexOf(message);
	const messages = session.messages.slice(Math.max(0, index - shownCounts.messages), index + shownCounts.messages)
		.map(({id, text, sentAt, endedAt, result, state}) => `  ${at(sentAt)}-${at(endedAt)} ${id} ${text.slice(0, maxTextLength)}: ${result} ${state}`);
	const {client, host, database} = session;
	return [
		`${rule}: ${what}`,
		`  client ${client} at ${host.name} (process ${host.process.pid}), database ${database}`,
		`  from ${at(session.openedAt)} to ${at(session.closedAt)}, closed by the ${session.isClosedByHost ? 'host' : 'client'}`,
		...messages,
		...listLogLines(session, message?.id ?? session.messages.at(-1)?.id),
	].join('\n');
}

function listLogLines({host, messages}: NonNullable<SoakFinding['session']>, id: string | undefined): readonly string[] {
	const lines = host.output().split('\n');
	const ids = new Set(messages.map(message => message.id));
	const number = lines.map(line => parseLine(line)).find(({id: lineId}) => lineId !== undefined && ids.has(lineId))?.session;
	return lines
		.filter(line => line.includes('"host: ') || (id !== undefined && line.includes(id)) || (number !== undefined && parseLine(line).session === number))
		.slice(-shownCounts.lines)
		.map(line => `  ${line}`);
}

function parseLine(line: string): {readonly id?: string; readonly session?: number} {
	try {
		return JSON.parse(line) as {readonly id?: string; readonly session?: number};
	} catch {
		// The last line may be incomplete.
		return {};
	}
}
