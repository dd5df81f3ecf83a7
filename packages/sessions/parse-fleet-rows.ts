import {decodeCopies} from './log-copies/decode-copies.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import type {FailoverLockRow} from './failover-lock-row.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import {isCount} from './is-count.ts';
import {isName} from './is-name.ts';
import {parseFields} from './parse-fields.ts';
import {parseSocketAddress} from './parse-socket-address.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import {ratePartitionCount} from './rate-partition-count.ts';
import type {HostRow} from './host-row.ts';
import type {StoreRow} from './store-row.ts';
import type {Versioned} from './versioned.ts';

type Fields = ReturnType<typeof parseFields>;

/** Longest lease in milliseconds that a registration may name; a failover waits for all leases. */
const maxLeaseMs = 60_000;

/**
 * Parses the rows of the `fleet` table. Unknown fields and rows with unknown keys are ignored.
 *
 * @param rows The rows.
 * @param onLeftOut Called for each row with a known key whose fields are missing, of another type or out of range. Others
 * may write to the table as well.
 */
export function parseFleetRows(rows: Iterable<StoreRow>, onLeftOut: (row: StoreRow) => void): FleetRows {
	const groups = new Map<string, Versioned<GroupRow>>();
	const hosts = new Map<string, Versioned<HostRow>>();
	const goneHosts = new Map<string, Versioned<HostRow>>();
	const failoverLocks = new Map<string, Versioned<FailoverLockRow>>();
	const rateAllocators = new Map<number, Versioned<RateAllocatorRow>>();
	let era = 1;

	/** Adds a row that could be decoded. */
	const add = <Row>(row: StoreRow, decode: (fields: Fields) => Row | undefined, accept: (row: Versioned<Row>) => void) => {
		const decoded = decode(parseFields(row.value ?? ''));
		if (decoded === undefined) {
			onLeftOut(row);
		} else {
			accept({...decoded, version: row.version});
		}
	};

	for (const row of rows) {
		const {key, version} = row;
		era = Math.max(era, decodeStoreVersion(version).era);
		if (key === fleetKeys.failoverLock) {
			add(row, decodeFailoverLock, lock => {
				failoverLocks.set(key, lock);
			});
		} else if (key.startsWith(fleetKeys.rateAllocatorPrefix)) {
			const partition = parsePartition(key.slice(fleetKeys.rateAllocatorPrefix.length));
			add(row, fields => partition === undefined ? undefined : decodeRateAllocator(fields), allocator => {
				rateAllocators.set(partition ?? 0, allocator);
			});
		} else if (key.startsWith(fleetKeys.groupPrefix)) {
			const name = key.slice(fleetKeys.groupPrefix.length);
			add(row, fields => isName(name) ? decodeGroup(fields) : undefined, group => {
				groups.set(name, group);
			});
		} else if (key.startsWith(fleetKeys.hostPrefix)) {
			add(row, fields => decodeHost(key.slice(fleetKeys.hostPrefix.length), fields), host => {
				(host.isGone === true ? goneHosts : hosts).set(host.name, host);
			});
		}
	}

	return {
		era, groups, hosts, goneHosts, failoverLock: failoverLocks.get(fleetKeys.failoverLock), rateAllocators,
	};
}

function parsePartition(text: string): number | undefined {
	return /^\d$/v.test(text) && Number(text) < ratePartitionCount ? Number(text) : undefined;
}

function decodeFailoverLock({holder, token}: Fields): FailoverLockRow | undefined {
	return isName(holder) && isCount(token) ? {holder, token} : undefined;
}

function decodeRateAllocator({holder, incarnation, epoch}: Fields): RateAllocatorRow | undefined {
	return isName(holder) && isCount(incarnation) && isCount(epoch) ? {holder, incarnation, epoch} : undefined;
}

function decodeGroup({
	epoch, state, primary, term, successor, holder, holderIncarnation, copies, token,
}: Fields): GroupRow | undefined {
	const isKnownState = state === 'serving' || state === 'fencing';
	if (!isCount(epoch) || !isKnownState || !isName(primary) || (successor !== '' && !isName(successor)) || !isName(holder) || !isCount(token)) {
		return undefined;
	}

	const areOthersValid = [term, holderIncarnation].every(value => value === undefined || isCount(value));
	const knownCopies = copies === undefined ? [] : decodeCopies(copies);
	return areOthersValid && knownCopies !== undefined
		? {
			epoch, state, primary, successor, holder, token, ...isCount(term) && {term}, ...isCount(holderIncarnation) && {holderIncarnation}, ...copies !== undefined && {copies: knownCopies},
		}
		: undefined;
}

function decodeHost(expectedName: string, {name, zone, address, incarnation, leaseMs, isGone}: Fields): HostRow | undefined {
	const isIdentified = name === expectedName && isName(name) && isName(zone) && isCount(incarnation);
	if (!isIdentified || typeof address !== 'string' || parseSocketAddress(address) === undefined) {
		return undefined;
	}

	const isLeaseValid = leaseMs === undefined || (typeof leaseMs === 'number' && leaseMs > 0 && leaseMs <= maxLeaseMs);
	const isGoneValid = isGone === undefined || typeof isGone === 'boolean';
	return isLeaseValid && isGoneValid
		? {
			name, zone, address, incarnation, ...leaseMs !== undefined && {leaseMs}, ...isGone !== undefined && {isGone},
		}
		: undefined;
}
