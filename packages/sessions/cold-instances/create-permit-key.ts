import type {ListedInstance} from '../listed-instance.ts';

/**
 * Creates the name under which hosts claim permits for an instance from a rate allocator. It begins with a line feed, which
 * no workspace that instances know has in its name.
 */
export function createPermitKey({group, id}: Pick<ListedInstance, 'group' | 'id'>): string {
	return `\n${group}\n${id}`;
}
