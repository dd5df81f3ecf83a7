import type {Caller} from './caller.ts';
import type {SessionContext} from './session-context.ts';

/** Checks the primary's gateway ahead of a write of a caller, so that the check goes on while the rate limit is being checked. */
export function checkPrimaryGateway(context: SessionContext, caller: Caller): void {
	const access = context.findAccess(caller);
	if (access.kind === 'denied') {
		return;
	}

	const group = context.findGroup(access.route.group);
	const view = group?.primary();
	if (view?.kind === 'leased') {
		group?.findInstance(view.instance)?.checkGateway(access.workspace);
	}
}
