import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {loadClasses} from './load-classes.ts';
import type {LoadClass} from './load-class.ts';
import type {LoadPlan} from './load-plan.ts';
import type {ScheduledRequest} from './scheduled-request.ts';

const millisecondsPerSecond = 1000;

/**
 * Creates the schedule of a plan: Poisson arrivals for each workspace, determined by the seed before the first request.
 *
 * The load is open-loop: a slow answer does not delay later requests, which avoids coordinated omission.
 */
export function createSchedule(plan: LoadPlan): readonly ScheduledRequest[] {
	const generator = xoroshiro128plus(plan.seed);
	const random = () => uniformFloat64(generator);
	return plan.workspaces
		.flatMap(workspace => createArrivals(plan, {workspace, random}))
		.toSorted((a, b) => a.scheduledAt - b.scheduledAt)
		.map((request, index) => ({...request, id: `${plan.seed}-${index}`}));
}

function createArrivals(
	plan: LoadPlan,
	options: {readonly workspace: LoadPlan['workspaces'][number]; readonly random: () => number},
): ReadonlyArray<Omit<ScheduledRequest, 'id'>> {
	const {workspace, random} = options;
	const arrivals: Array<Omit<ScheduledRequest, 'id'>> = [];
	const drawGap = () => -Math.log(1 - random()) * millisecondsPerSecond / workspace.offered;
	for (let scheduledAt = drawGap(); scheduledAt < plan.duration; scheduledAt += drawGap()) {
		arrivals.push({
			scheduledAt,
			workspace: workspace.name,
			session: Math.floor(random() * workspace.sessions),
			class: chooseClass(workspace, random()),
			targetIndex: Math.floor(random() * plan.targets.length),
		});
	}

	return arrivals;
}

function chooseClass(workspace: LoadPlan['workspaces'][number], fraction: number): LoadClass {
	const total = loadClasses.reduce((sum, name) => sum + workspace[name], 0);
	let remaining = fraction * total;
	for (const name of loadClasses) {
		remaining -= workspace[name];
		if (remaining < 0) {
			return name;
		}
	}

	return 'within';
}
