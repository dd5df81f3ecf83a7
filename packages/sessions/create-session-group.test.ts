import {expect} from 'chai';
import {createSessionGroup} from './create-session-group.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import type {Evacuations} from './evacuation/evacuations.ts';
import type {ZonePhase} from './evacuation/zone-phase.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import type {Gateways} from './gateways.ts';
import type {GroupRow} from './group-row.ts';
import type {ListedInstance} from './listed-instance.ts';

const ignore = () => undefined;
const time = {steady: 1000, wall: 1000};
const serving: GroupRow = {
	epoch: 4, state: 'serving', primary: 'i-a', successor: '', holder: 'a1', token: 2,
};

function createGroup(findZonePhase: Evacuations['findPhase'] = () => 'open') {
	const group = createSessionGroup('pondbook', {
		zone: 'a',
		findZonePhase,
		openConnection() {
			throw new Error('The test opens no connections');
		},
		gateways: {} as unknown as Gateways,
		isStoreReader: () => false,
		now: () => time,
		log: {debug: ignore, info: ignore, warn: ignore},
		findWorkspace: ignore,
	});
	const read = (row: GroupRow, era: number, counter: number) => {
		group.updateRow({...row, version: encodeStoreVersion({era, counter})}, time);
	};

	const findState = () => {
		const view = group.primary();
		return view.kind === 'leased' ? view.instance : view.reason;
	};

	return {group, read, findState};
}

describe('createSessionGroup, when the store comes back from an older copy', () => {
	// Guards against a failover that does not wait for a host whose registration the store has lost.
	it('grants no lease while the registration of the host is lost', () => {
		const {group, read, findState} = createGroup();
		group.setRegistered(true);
		read(serving, 1, 40);
		expect(findState()).to.equal('i-a');
		group.setRegistered(false);
		expect(findState()).to.equal('unknown');
		group.setRegistered(true);
		expect(findState()).to.equal('i-a');
	});

	// Guards against a primary being used again that was replaced in the lost seconds.
	it('grants no lease on the restored row, and one on the row that confirms a primary', () => {
		const {group, read, findState} = createGroup();
		group.setRegistered(true);
		read(serving, 1, 40);
		read(serving, 2, 38);
		expect(findState()).to.equal('restored');
		read({...serving, epoch: findNextEpoch(serving.epoch, 2), primary: 'i-b'}, 2, 39);
		expect(findState()).to.equal('i-b');
	});

	it('knows the row that it read before the store lost it', () => {
		const {group, read} = createGroup();
		read(serving, 1, 40);
		expect(group.known(1)).to.equal(undefined);
		expect(group.known(2)?.row.primary).to.equal('i-a');
	});

	const cases = [
		{
			name: 'no epoch if it did not know the group', rows: [], fence: undefined, expected: undefined,
		},
		{
			name: 'the epoch of the row that it had', rows: [serving], fence: undefined, expected: 4,
		},
		{
			name: 'the epoch of a fence that it was told of, though it never read it', rows: [serving], fence: 5, expected: 5,
		},
	];
	for (const {name, rows, fence, expected} of cases) {
		it(`knows ${name} before the era of the store`, () => {
			const {group, read} = createGroup();
			for (const row of rows) {
				read(row, 1, 40);
			}

			group.fence(fence ?? 0);
			read(serving, 2, 38);
			expect(group.known(2)?.epoch).to.equal(expected);
		});
	}
});

describe('createSessionGroup, when the primary refuses a write as a replica does', () => {
	// Guards against reads on the latest state at an instance that does not lead any more, since a replica runs reads.
	it('grants no lease until the instance leads again or another one is stored', () => {
		const {group, read, findState} = createGroup();
		group.setRegistered(true);
		read(serving, 1, 40);
		group.setDemoted(serving.epoch, true);
		expect({state: findState(), isDemoted: group.isDemoted()}).to.deep.equal({state: 'demoted', isDemoted: true});
		group.setDemoted(serving.epoch, false);
		expect({state: findState(), isDemoted: group.isDemoted()}).to.deep.equal({state: 'i-a', isDemoted: false});
		group.setDemoted(serving.epoch, true);
		read({...serving, epoch: serving.epoch + 1, primary: 'i-b'}, 1, 41);
		expect({state: findState(), isDemoted: group.isDemoted()}).to.deep.equal({state: 'i-b', isDemoted: false});
	});

	it('ignores what was refused under an earlier epoch', () => {
		const {group, read, findState} = createGroup();
		group.setRegistered(true);
		read({...serving, epoch: serving.epoch + 1}, 1, 41);
		group.setDemoted(serving.epoch, true);
		expect(findState()).to.equal('i-a');
	});
});

describe('createSessionGroup, when zones are evacuated', () => {
	const createEvacuated = (zones: readonly string[]) => {
		const phases = new Map<string, ZonePhase>([['a', 'leaving']]);
		const {group, read} = createGroup(zone => phases.get(zone) ?? 'open');
		group.updateInstances(zones.map((zone): ListedInstance => ({
			id: `i-${zone}`, group: 'pondbook', host: '', port: 0, zone, slots: 5, isDeparting: false, role: 'replica',
		})), 1);
		group.setRegistered(true);
		read(serving, 1, 40);
		return {group, read, phases};
	};

	it('ends the wait for the primary once the zone is taken back', async () => {
		const {group, phases} = createEvacuated(['a']);
		const waiting = group.waitForPrimary(60_000);
		phases.clear();
		group.updateInstances([], 1);
		expect(await waiting).to.include({kind: 'leased', instance: 'i-a'});
	});

	it('moves the primary once, and waits after a failover that left it where it was', () => {
		const {group, read} = createEvacuated(['a', 'b']);
		expect({isMoveDue: group.isMoveDue(), primary: group.primary({isForNewWork: true}).kind}).to.deep.equal({isMoveDue: true, primary: 'leased'});
		read({...serving, epoch: 5, state: 'fencing'}, 1, 41);
		read({...serving, epoch: 5}, 1, 42);
		expect(group.isMoveDue()).to.equal(false);
		read({...serving, epoch: 6, primary: 'i-b'}, 1, 43);
		expect(group.isMoveDue()).to.equal(false);
	});

	it('moves the primary at once after a failover that left it where it was before the evacuation', () => {
		const {group, read, phases} = createEvacuated(['a', 'b']);
		phases.clear();
		read({...serving, epoch: 5, state: 'fencing'}, 1, 41);
		read({...serving, epoch: 5}, 1, 42);
		phases.set('a', 'leaving');
		expect(group.isMoveDue()).to.equal(true);
	});

	it('begins nothing at a primary that cannot be moved, and keeps its lease for open transactions', () => {
		const {group} = createEvacuated(['a']);
		expect(group.isMoveDue()).to.equal(false);
		expect(group.primary({isForNewWork: true})).to.include({reason: 'evacuated'});
		expect(group.primary()).to.include({kind: 'leased', instance: 'i-a'});
	});
});
