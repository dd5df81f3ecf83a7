import type {Change} from '@sapphirefall/decisions';

/** Describes a change in a few words for operators, without key digests. */
export function describeChange(change: Change): string {
	switch (change.kind) {
		case 'setWorkspace': {
			return `workspace ${change.workspace} set to rate ${change.rate} and burst ${change.burst}`;
		}

		case 'removeWorkspace': {
			return `workspace ${change.workspace} removed`;
		}

		case 'addKey': {
			return `key ${change.keyId} given to workspace ${change.workspace}`;
		}

		case 'withdrawKey': {
			return `key ${change.keyId} withdrawn`;
		}

		case 'setFreshness': {
			return `freshness of ${change.readKind} set`;
		}

		case 'setException': {
			return `exception of workspace ${change.workspace} for ${change.readKind} set`;
		}

		case 'setRoute': {
			return `route ${change.route} set`;
		}

		case 'declare': {
			return `declaration of ${Object.keys(change.declaration).join(', ')} applied`;
		}
	}
}
