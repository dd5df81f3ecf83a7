import type {Caller} from './caller.ts';
import {createBusyFailure} from './create-busy-failure.ts';
import {createFailure} from './create-failure.ts';
import type {LastWrite} from './last-write.ts';
import type {Operation} from './operation.ts';
import {isZoneAllowed} from './regions/is-zone-allowed.ts';
import type {SessionContext} from './session-context.ts';
import type {SessionSetup} from './session-setup.ts';
import type {StatementOutcome} from './statement-outcome.ts';
import type {StatementTrace} from './statement-trace.ts';
import type {StopPhase} from './stop-phase.ts';
import type {TransactionScope} from './transaction-scope.ts';

type Options = {
	readonly context: SessionContext;
	readonly caller: Caller;
	readonly setup: SessionSetup;
	readonly trace: StatementTrace;
	/** What the statement's transaction began with; undefined for a statement outside of a transaction. */
	readonly scope: TransactionScope | undefined;
	/** Whether the host has answered the statement already, so that nothing more may be sent for it. */
	readonly isGivenUp: () => boolean;
	readonly setMayTakeEffect: Operation['setMayTakeEffect'];
	/** Last writes of the session, by name of the group. The route may move to another group and back. */
	readonly lastWrites: Map<string, LastWrite>;
};

/** Phases of a planned stop in which nothing more is sent to an instance, also for a statement that arrived before and waited. */
const sendlessPhases: ReadonlySet<StopPhase> = new Set(['rollingBack', 'answering']);

/** Creates the operation for a statement that has just arrived, or a failure if the caller has no access to the database now. */
export function createOperation({
	context, caller, setup, trace, scope, isGivenUp, setMayTakeEffect, lastWrites,
}: Options): Operation | StatementOutcome {
	const access = context.findAccess(caller);
	if (access.kind === 'denied') {
		return createFailure(access.code, access.reason);
	}

	const {workspace} = access;
	if (scope !== undefined && scope.workspace !== workspace) {
		return createFailure('aborted', 'The key belongs to another workspace than when the transaction began');
	}

	const {route} = scope?.opened ?? access;
	const group = scope?.opened?.group ?? context.findGroup(route.group);
	if (group === undefined) {
		return createBusyFailure(`The group ${route.group} is not known yet`, 500);
	}

	const findPresentAccess = () => {
		const present = context.findAccess(caller);
		return present.kind === 'allowed' && present.workspace === workspace ? present : undefined;
	};

	const findAllowedRegions = () => (findPresentAccess() ?? access).allowedRegions;

	const arrivedAt = context.now();
	return {
		context,
		group,
		route,
		workspace,
		caller,
		setup,
		arrivedAt,
		deadline: arrivedAt.steady + route.statementTimeout,
		isAllowed: () => !isGivenUp() && !sendlessPhases.has(context.findStopPhase()) && findPresentAccess() !== undefined,
		findAllowedRegions,
		mayReachZone: zone => isZoneAllowed(zone, {allowed: findAllowedRegions(), regions: context.regions}),
		setMayTakeEffect,
		lastWrite: () => lastWrites.get(group.name),
		setLastWrite(newer) {
			lastWrites.set(group.name, newer);
		},
		trace,
	};
}
