import process from 'node:process';
import {measureFailover} from './measure-failover.ts';
import type {PrimaryFault} from './primary-fault.ts';

/** Greatest allowed write gap, in milliseconds. */
const target = 2000;

const rounds = Number(process.argv[2] ?? 20);
const kinds: readonly PrimaryFault[] = ['kill', 'cut', 'freeze'];

function describeTimes(times: readonly number[]): string {
	const sorted = times.toSorted((a, b) => a - b);
	return `median ${sorted[Math.floor(sorted.length / 2)]}, worst ${sorted.at(-1)}`;
}

let worst = 0;
for (const zoneDelay of [3, 5]) {
	for (const kind of kinds) {
		const failovers = await measureFailover(kind, {zoneDelay, rounds}); // eslint-disable-line no-await-in-loop -- one cluster at a time
		worst = Math.max(worst, ...failovers.map(({writeGapMs}) => writeGapMs));
		console.log(`${zoneDelay} ms between zones, ${kind}, ${failovers.length} failovers, in ms: `
			+ `suspected ${describeTimes(failovers.map(({suspected}) => suspected))}; `
			+ `fenced ${describeTimes(failovers.map(({fenced}) => fenced))}; `
			+ `promoted ${describeTimes(failovers.map(({promoted}) => promoted))}; `
			+ `write gap ${describeTimes(failovers.map(({writeGapMs}) => writeGapMs))}`);
	}
}

console.log(JSON.stringify({worstWriteGapMs: worst, targetMs: target}));
process.exitCode = worst <= target ? 0 : 1;
