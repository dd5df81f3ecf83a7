import {z} from 'zod';

/**
 * Creates the schema of an object whose fields are named by operators. Its `parse` throws the error of the first value that is odd.
 *
 * The result is a map, in which no name is a field of all objects and `__proto__` is a name as any other.
 *
 * @param value Schema of each field's value.
 */
export function createNamesSchema<Value>(value: z.ZodType<Value>): z.ZodType<ReadonlyMap<string, Value>> {
	return z.custom<object>(isObject, 'must be an object').transform(object =>
		new Map(Object.entries(object).map(([name, part]) => [name, value.parse(part)])));
}

function isObject(value: unknown): value is object {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
