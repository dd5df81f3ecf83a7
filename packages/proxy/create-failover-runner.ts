import type {FailoverEffect, HostEvent, HostState} from '@sapphirefall/decisions';
import type {EventLog} from '@sapphirefall/events';
import type {Metrics} from '@sapphirefall/operators';
import type {FindPeer} from './find-peer.ts';
import type {GroupRuntime} from './group-runtime.ts';
import type {HostLog} from './host-log.ts';

type Options = {
	/** Identifies this process; an instance grants a term to one owner only. */
	readonly owner: string;
	readonly readState: () => HostState;
	readonly dispatch: (event: HostEvent) => void;
	readonly findGroup: (database: string) => GroupRuntime | undefined;
	readonly findPeer: FindPeer;
	readonly events: EventLog;
	readonly metrics: Metrics;
	readonly log: HostLog;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** Creates a function that carries out the failover effects that the control loop decides on. */
export function createFailoverRunner(options: Options): (database: string, effect: FailoverEffect) => void {
	const {dispatch, findGroup, log, now} = options;

	const publishStep = (database: string, step: string) => {
		options.metrics.failovers.inc({step});
		options.events.emit({kind: 'failover-step', database, detail: step});
		log.info(`failover: Database ${database}: ${step}.`);
	};

	const requestConfirmations = (database: string, term: number) => {
		const {groups, membership} = options.readState();
		for (const id of groups.get(database)?.watch?.others ?? []) {
			const zone = membership.hosts.get(id)?.zone ?? '';
			void confirm({
				id, zone, database, term,
			});
		}
	};

	const confirm = async (request: {readonly id: string; readonly zone: string; readonly database: string; readonly term: number}) => {
		try {
			if (await options.findPeer(request.id)?.confirm(request.database, request.term)) {
				dispatch({kind: 'failover', database: request.database, event: {kind: 'confirmed', zone: request.zone}});
			}
		} catch {
			log.debug(`hosts: Host ${request.id} did not answer the confirmation request.`);
		}
	};

	const fence = async (database: string, {instance, term}: Extract<FailoverEffect, {readonly kind: 'fence'}>) => {
		const answer = await findGroup(database)?.findFailoverClient(instance)?.fence(term, options.owner);
		if (answer !== undefined) {
			dispatch({kind: 'failover', database, event: {kind: 'fenceAnswered', term, ...answer}});
		}
	};

	const promote = async (database: string, {instance, term}: Extract<FailoverEffect, {readonly kind: 'promote'}>) => {
		const sentAt = now();
		const answer = await findGroup(database)?.findFailoverClient(instance)?.promote(term, options.owner);
		if (answer !== undefined) {
			dispatch({
				kind: 'reported', database, report: answer.report, sentAt,
			});
			dispatch({kind: 'failover', database, event: {kind: 'promoteAnswered', term, isGranted: answer.isGranted}});
		}
	};

	const follow = async (database: string, effect: Extract<FailoverEffect, {readonly kind: 'follow'}>) => {
		const group = findGroup(database);
		const primary = group?.view().group.instances.find(({id}) => id === effect.primary);
		if (primary !== undefined) {
			await group?.findFailoverClient(effect.instance)?.follow(effect.term, primary);
		}
	};

	const run = async (database: string, effect: FailoverEffect) => {
		switch (effect.kind) {
			case 'publishStep': {
				publishStep(database, effect.step);
				break;
			}

			case 'askConfirmation': {
				requestConfirmations(database, effect.term);
				break;
			}

			case 'fence': {
				await fence(database, effect);
				break;
			}

			case 'promote': {
				await promote(database, effect);
				break;
			}

			case 'follow': {
				await follow(database, effect);
				break;
			}
		}
	};

	return (database, effect) => {
		run(database, effect).catch(() => { // eslint-disable-line promise/prefer-await-to-then -- the control loop does not wait
			log.debug(`failover: Database ${database}: the ${effect.kind} command got no answer.`);
		});
	};
}
