/** Finds the group of the instance that a claim asks permits for; undefined if it claims a share of a workspace's rate. */
export function findPermitGroup(key: string): string | undefined {
	const [before, group, id] = key.split('\n');
	return before === '' && id !== undefined ? group : undefined;
}
