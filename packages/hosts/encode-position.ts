import type {GroupSampleSchema} from '@sapphirefall/wire';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {PrimaryPosition} from '@sapphirefall/sessions';

/** Encodes the position of a primary's log. */
export function encodePosition({
	group, epoch, position, age,
}: PrimaryPosition): MessageInitShape<typeof GroupSampleSchema> {
	return {
		group, epoch: BigInt(epoch), position, ageMs: age,
	};
}
