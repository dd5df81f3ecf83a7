/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SoakProcess} from './soak-process.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds for which a slowed process is frozen and runs, by turns: about a third of its speed. */
const slowed = {frozenMs: 30, runningMs: 15};

/** Records what is done to a host process and how it ends. */
export function followProcess(host: WireDeployment['hosts'][number]): SoakProcess {
	const {process: child} = host;
	const signals: Array<ReturnType<SoakProcess['signals']>[number]> = [];
	let end: ReturnType<SoakProcess['end']>;
	let isSlowed = false;
	const ended = new Promise<void>(resolve => {
		const finish = () => {
			end ??= {at: performance.now(), code: child.exitCode};
			resolve();
		};

		if (child.exitCode === null && child.signalCode === null) {
			child.once('exit', finish);
		} else {
			finish();
		}
	});
	return {
		host,
		send(signal) {
			signals.push({at: performance.now(), signal});
			child.kill(signal);
		},
		signals: () => signals,
		end: () => end,
		ended,
		async slowDown() {
			isSlowed = true;
			while (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGSTOP');
				await sleep(slowed.frozenMs);
				child.kill('SIGCONT');
				await sleep(slowed.runningMs);
			}
		},
		isSlowed: () => isSlowed,
	};
}
