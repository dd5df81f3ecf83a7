import type {InstanceStandIn} from './instance-stand-in.ts';

/** Finds the primary of the newest term; one of an earlier term may not have stepped down yet. */
export function findNewestPrimary(instances: readonly InstanceStandIn[]): InstanceStandIn | undefined {
	const primaries = instances.filter(instance => instance.role() === 'primary');
	const term = Math.max(...primaries.map(instance => instance.term()));
	return primaries.find(instance => instance.term() === term);
}
