/* eslint-disable no-await-in-loop -- steps run in sequence */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createRandom} from '../cluster/create-random.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Seeds of the short run; a long run names others in `SOAK_SEEDS`, separated by commas. */
const seeds = (process.env['SOAK_SEEDS'] ?? '1,2').split(',').map(Number);

/** Milliseconds for which a seed injects faults. */
const faultsMs = 10_000;

/** Milliseconds after which no host may accept a withdrawn key, as in the hosts' settings. */
const revocationLimitMs = 5000;

/** Time limit for writes to succeed on all hosts once the faults are over. */
const recoveryLimitMs = 8000;

/** Injects faults and changes in series, at moments that the seed decides, until `isOver`. Restarts and returns of the store overlap. */
async function injectFaults(deployment: WireDeployment, {seed, isOver, onChange}: {readonly seed: number; readonly isOver: () => boolean; readonly onChange: (hasThird: boolean) => void}) {
	const random = createRandom(seed);
	const pick = (least: number, most: number) => least + Math.floor(random() * (most - least));
	const events: string[] = [];
	const running = new Set<Promise<void>>();
	const restarting = new Set<number>();
	let isAway = false;
	let hasThird = false;
	const track = (task: Promise<void>, finish: () => void = () => undefined) => {
		const tracked = (async () => {
			await task;
			finish();
		})();
		running.add(tracked);
	};

	const startedAt = performance.now();
	const run = (kind: number) => {
		const host = pick(0, 3);
		if (kind < 4 && !isAway) {
			const restore = {lostMs: pick(100, 6000), awayMs: pick(0, 2000), rewriteAfterMs: pick(0, 1000)};
			isAway = true;
			track(deployment.store.restore(restore), () => {
				isAway = false;
			});
			return `restore ${JSON.stringify(restore)}`;
		}

		if (kind < 6 && restarting.size < 2 && !restarting.has(host)) {
			restarting.add(host);
			track(deployment.restart(host), () => {
				restarting.delete(host);
			});
			return `restart ${host}`;
		}

		const primary = deployment.instances.find(instance => instance.role() === 'primary');
		if (kind < 7 && !isAway && primary !== undefined) {
			deployment.drain(primary);
			return `drain ${primary.id}`;
		}

		if (!isAway) {
			hasThird = !hasThird;
			deployment.configure({keys: ['good', 'other', ...hasThird ? ['third'] : []]});
			onChange(hasThird);
			return `configure ${String(hasThird)}`;
		}

		return 'none';
	};

	while (!isOver()) {
		events.push(`${Math.round(performance.now() - startedAt)} ${run(pick(0, 10))}`);
		await sleep(pick(100, 1600));
	}

	await Promise.all(running);
	return events;
}

describe('hosts over the wire protocol, while the store comes back older again and again', () => {
	for (const seed of seeds) {
		// Guards against stale reads, keys that come back and tokens that are given out twice, whatever overlaps with the return of the store.
		it(`keeps its promises with seed ${seed}`, async () => {
			const deployment = await startWireDeployment({hostCount: 3, lag: 60});
			const violations: string[] = [];
			const query = async (host: number, text: string, key = 'good') => sendStatement({port: deployment.hosts[host]?.port ?? 0, key, text});

			let withdrawnAt: number | undefined = performance.now() - revocationLimitMs;
			let acknowledged = 0;
			let written = 0;
			/** Writes a number through one host and reads it through another; a read must not miss an acknowledged one. */
			const checkRead = async () => {
				written++;
				const {result} = await query(written % 3, `WRITE number ${written}`);
				acknowledged = result.startsWith('COMPLETE') ? written : acknowledged;
				const read = await query((written + 1) % 3, 'READ number');
				if (read.result.startsWith('COMPLETE') && Number(read.rows[0]) < acknowledged) {
					violations.push(`read ${read.rows[0]} after ${acknowledged} was acknowledged`);
				}
			};

			const checkKey = async () => {
				const startedAt = performance.now();
				const since = withdrawnAt;
				const {result} = await query(written % 3, 'READ number', 'third');
				if (result.startsWith('COMPLETE') && since !== undefined && since === withdrawnAt && startedAt - since > revocationLimitMs) {
					violations.push(`a key was accepted ${Math.round(startedAt - since)} ms after it was withdrawn`);
				}
			};

			try {
				await deployment.waitUntilReady();
				await sleep(1500);
				const endsAt = performance.now() + faultsMs;
				const isOver = () => performance.now() > endsAt;
				const faults = injectFaults(deployment, {
					seed,
					isOver,
					onChange(hasThird) {
						withdrawnAt = hasThird ? undefined : performance.now();
					},
				});
				while (!isOver()) {
					await checkRead();
					await checkKey();
				}

				const events = await faults;
				const recoversAt = performance.now() + recoveryLimitMs;
				const pending = new Set([0, 1, 2]);
				while (pending.size > 0 && performance.now() < recoversAt) {
					for (const host of pending) {
						const {result} = await query(host, 'WRITE last yes');
						if (result.startsWith('COMPLETE')) {
							pending.delete(host);
						}
					}

					await sleep(50);
				}

				const tokens = deployment.promotions().map(({token}) => token);
				expect({violations, pending: [...pending], tokens}, events.join('; ')).to.deep.equal({violations: [], pending: [], tokens: [...tokens].sort((a, b) => a - b)});
				expect(acknowledged).to.be.above(0);
			} finally {
				deployment.stop();
			}
		});
	}
});
