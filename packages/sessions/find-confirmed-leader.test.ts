import {expect} from 'chai';
import {findConfirmedLeader} from './find-confirmed-leader.ts';
import type {KnownGroup} from './known-group.ts';
import type {GroupRow} from './group-row.ts';
import {parseStatus} from './parse-status.ts';

const row: GroupRow = {
	epoch: 4, state: 'serving', primary: 'i-a', successor: '', holder: 'a1', token: 2,
};
const fencing: GroupRow = {...row, state: 'fencing'};

describe('findConfirmedLeader', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly row?: GroupRow; readonly statuses: ReadonlyArray<string | undefined>; readonly known: KnownGroup | undefined; readonly isSettled?: boolean; readonly isOverdue?: boolean; readonly expected: string | undefined}> = [
		{
			name: 'confirms the stored primary if all instances answer', statuses: ['primary 3 3.7', 'replica 3 3.7', 'replica 3 3.6'], known: undefined, expected: 'i-a',
		},
		// Guards against a primary being used again that was replaced in the lost seconds, when the hosts that knew are gone.
		{
			name: 'finds the primary that was promoted in the lost seconds', statuses: ['primary 3 3.7', 'primary 4 3.7', 'replica 4 3.6'], known: undefined, expected: 'i-b',
		},
		{
			name: 'finds the primary though the store names a failover that has ended since', row: fencing, statuses: ['replica 4 3.7', 'primary 4 3.7', 'replica 4 3.6'], known: {row, epoch: 4}, expected: 'i-b',
		},
		{
			name: 'confirms the stored primary without a silent replica if no later epoch was heard of', statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: {row, epoch: 4}, expected: 'i-a',
		},
		// Guards against waiting for all instances, or replacing the primary once more, when a host knows the failover that the store has lost.
		{
			name: 'confirms the primary that a host read before the store lost it, without a silent instance', statuses: [undefined, 'primary 4 3.7', 'replica 4 3.6'], known: {row: {...row, epoch: 5, primary: 'i-b'}, epoch: 5}, expected: 'i-b',
		},
		{
			name: 'confirms the successor of a failover that a host knew of, without a silent instance', statuses: [undefined, 'primary 4 3.7', 'replica 4 3.6'], known: {row: {...fencing, epoch: 5, successor: 'i-b'}, epoch: 5}, expected: 'i-b',
		},
		{
			name: 'is not certain of a leader that no known row names, without a silent instance', statuses: [undefined, 'primary 4 3.7', 'replica 4 3.6'], known: {row: {...fencing, epoch: 5}, epoch: 5}, expected: undefined,
		},
		// Guards against confirming the old primary while the one that replaced it in the lost seconds is cut off.
		{
			name: 'is not certain without a silent replica if a later epoch was heard of', statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: {row, epoch: 5}, expected: undefined,
		},
		{
			name: 'is not certain without a silent replica at a host that has just started', statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: undefined, expected: undefined,
		},
		{
			name: 'is not certain without a silent instance during a failover', row: fencing, statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: {row: fencing, epoch: 4}, expected: undefined,
		},
		{
			name: 'confirms the primary with which a host saw the failover end that the store still has', row: fencing, statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: {row, epoch: 4}, expected: 'i-a',
		},
		{
			name: 'confirms the stored primary at once if all instances answer and no later epoch was heard of', statuses: ['primary 3 3.7', 'replica 3 3.7', 'replica 3 3.6'], known: {row, epoch: 4}, isSettled: false, expected: 'i-a',
		},
		// Guards against confirming the old primary while a promotion that was ordered before the return of the store takes effect.
		{
			name: 'waits for the promotion of a failover that it heard of', statuses: ['primary 3 3.7', 'replica 3 3.7', 'replica 3 3.6'], known: {row, epoch: 5}, isSettled: false, expected: undefined,
		},
		{
			name: 'waits for a promotion that it may not have heard of, as it has just started', statuses: ['primary 3 3.7', 'replica 3 3.7', 'replica 3 3.6'], known: undefined, isSettled: false, expected: undefined,
		},
		{
			name: 'waits for the successor of a failover whose promotion takes effect', statuses: ['primary 3 3.7', 'replica 3 3.7', 'replica 3 3.6'], known: {row: {...fencing, epoch: 5, successor: 'i-b'}, epoch: 5}, isSettled: false, expected: undefined,
		},
		{
			name: 'takes the leader of those that answer when the group has had no primary for long', statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: undefined, isOverdue: true, expected: 'i-a',
		},
		// Guards against taking an earlier primary, which has not stepped down, for the present one while that is silent.
		{
			name: 'takes no leader of an older term than the row names, however long the group has had no primary', row: {...row, term: 4}, statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: undefined, isOverdue: true, expected: undefined,
		},
		{
			name: 'takes no leader of an older term than a row that the host knew, although it is the stored primary', statuses: ['primary 3 3.7', undefined, 'replica 3 3.6'], known: {row: {...row, term: 4}, epoch: 4}, expected: undefined,
		},
		{
			name: 'finds nothing while a promotion takes effect', statuses: ['replica 4 3.7', 'replica 4 3.7', 'replica 4 3.6'], known: {row, epoch: 4}, expected: undefined,
		},
		{
			name: 'finds nothing while no instance answers', statuses: [undefined, undefined, undefined], known: {row, epoch: 4}, expected: undefined,
		},
	];
	for (const {
		name, row: stored = row, statuses, known, isSettled = true, isOverdue = false, expected,
	} of cases) {
		it(name, () => {
			const ids = ['i-a', 'i-b', 'i-c'];
			expect(findConfirmedLeader({
				row: stored, statuses: new Map(ids.map((id, index) => [id, parseStatus(statuses[index] ?? '')])), known, isSettled, isOverdue,
			})).to.equal(expected);
		});
	}
});
