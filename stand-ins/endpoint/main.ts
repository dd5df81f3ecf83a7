import process from 'node:process';
import {createServer} from 'node:http2';
import {readFileSync} from 'node:fs';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {parse} from 'yaml';
import {z} from 'zod';
import {EndpointFaultService, EndpointService} from '@sapphirefall/wire';
import {createStdoutEventLog} from '../cluster/create-stdout-event-log.ts';
import type {AnswerFault} from './answer-fault.ts';
import {createEndpointService} from './create-endpoint-service.ts';
import {createInstance} from './create-instance.ts';
import {startReplication} from './start-replication.ts';

const settingsSchema = z.strictObject({
	id: z.string(),
	port: z.number(),
	journalFile: z.string().optional(),
	/** Address of the primary to follow if the journal is empty. Without it, the instance starts as the primary of term 1. */
	primary: z.string().optional(),
	/** Addresses at which this instance reaches other instances, where they differ from those that hosts use. */
	routes: z.record(z.string(), z.string()).default({}),
	slots: z.number().default(5),
	connectionLimit: z.number().default(35),
	connectTime: z.number().default(12),
	serviceTime: z.number().default(0),
	lag: z.number().default(0),
	lockTimeout: z.number().default(1000),
	pullWait: z.number().default(200),
	/** Whether the instance prints every batch request to standard output. */
	trace: z.boolean().default(false),
});

const settings = settingsSchema.parse(parse(readFileSync(process.argv[2] ?? '', 'utf8')));
const events = createStdoutEventLog(settings.id);
const instance = createInstance({
	id: settings.id,
	journalFile: settings.journalFile,
	slots: settings.slots,
	serviceTime: settings.serviceTime,
	lockTimeout: settings.lockTimeout,
	onRoleChange(role, term) {
		events.emit({kind: 'role-changed', detail: `${role} of term ${term}`});
	},
});

if (instance.getRole().term === 0) {
	if (settings.primary === undefined) {
		instance.fence({term: 1, owner: 'first'});
		instance.promote({term: 1, owner: 'first'});
	} else {
		instance.follow({term: 1, primaryAddress: settings.primary});
	}
}

startReplication({instance, lag: settings.lag});
let fault: AnswerFault = {
	delayMs: 0, remainingDrops: 0, remainingSkips: 0, hasStrays: false,
};
const service = createEndpointService(instance, {
	...settings,
	readFault: () => fault,
	takeDrop() {
		const isDropped = fault.remainingSkips === 0 && fault.remainingDrops > 0;
		fault = fault.remainingSkips > 0
			? {...fault, remainingSkips: fault.remainingSkips - 1}
			: {...fault, remainingDrops: Math.max(0, fault.remainingDrops - 1)};
		return isDropped;
	},
});
const handler = connectNodeAdapter({
	routes(router) {
		router.service(EndpointService, service);
		router.service(EndpointFaultService, {
			setFault({
				delayMs, dropped, skipped, strays,
			}) {
				fault = {
					delayMs, remainingDrops: dropped, remainingSkips: skipped, hasStrays: strays,
				};
				return {};
			},
		});
	},
});
createServer(handler).listen(settings.port, '127.0.0.1');
events.emit({kind: 'process-started', detail: `port ${settings.port}`});
