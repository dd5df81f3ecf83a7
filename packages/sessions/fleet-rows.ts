import type {DutyRow} from './duty-row.ts';
import type {GroupRow} from './group-row.ts';
import type {HomeRow} from './home-row.ts';
import type {HostRow} from './host-row.ts';
import type {Versioned} from './versioned.ts';

/** The fleet's own rows. */
export type FleetRows = {
	readonly groups: ReadonlyMap<string, Versioned<GroupRow>>;
	readonly hosts: ReadonlyMap<string, Versioned<HostRow>>;
	readonly duty: Versioned<DutyRow> | undefined;
	readonly rateHome: Versioned<HomeRow> | undefined;
};
