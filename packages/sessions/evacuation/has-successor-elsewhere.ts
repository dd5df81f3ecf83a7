import type {InstanceRuntime} from '../instance-runtime.ts';

type Options = {
	/** Id of the primary. */
	readonly primary: string;
	readonly isEvacuated: (zone: string) => boolean;
	/** Whether the platform lists an instance now. */
	readonly isListed: (id: string) => boolean;
};

/**
 * Checks whether a group has an instance outside of the evacuated zones that may be promoted; departing and unlisted ones may
 * not. Whether it answers shows in the failover: this host may not have asked it for long.
 */
export function hasSuccessorElsewhere(instances: ReadonlyArray<Pick<InstanceRuntime, 'listed'>>, {primary, isEvacuated, isListed}: Options): boolean {
	return instances.some(instance => {
		const {id, zone, isDeparting} = instance.listed();
		return id !== primary && !isDeparting && !isEvacuated(zone) && isListed(id);
	});
}
