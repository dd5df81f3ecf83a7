/* eslint-disable @typescript-eslint/naming-convention -- keys of the store's rows */
import {expect} from 'chai';
import fc from 'fast-check';
import {createChangedJson} from '../../stand-ins/odd-input/create-changed-json.ts';
import {oddName} from '../../stand-ins/odd-input/odd-name.ts';
import {propertyOptions} from '../../stand-ins/odd-input/property-options.ts';
import {encodeStoreVersion} from './encode-store-version.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {StoreRow} from './store-row.ts';

const deeplyNested = '['.repeat(20_000) + ']'.repeat(20_000);
const manyDigits = `1${'0'.repeat(400)}`;

/** A valid row of each kind, by key. */
const validRows = {
	duty: {holder: 'a1', token: 3},
	'rate-home/7': {holder: 'a1', incarnation: 1_700_000_000_000, epoch: 2},
	'group/pondbook': {
		epoch: 4, state: 'serving', primary: 'i-1', term: 7, successor: '', holder: 'a1', holderIncarnation: 1_700_000_000_000, copies: [{id: 'i-1', born: 1_700_000_000_000}, {id: 'i-2'}], token: 3,
	},
	'host/a1': {
		name: 'a1', zone: 'a', address: '10.1.0.26:7560', incarnation: 1_700_000_000_000, leaseMs: 1800, isGone: false,
	},
};

type Key = keyof typeof validRows;

/** Fields that rows of earlier versions of the hosts do not have. */
const optionalFields = new Set(['term', 'holderIncarnation', 'copies', 'leaseMs', 'isGone']);

/** Values in JSON that are right for no field. */
const oddValues = {
	null: 'null', array: '[1]', object: '{"holder":"a1"}', blanks: '"a 1"', 'line break': String.raw`"a\r\n1"`, nested: deeplyNested, infinite: '1e999', negative: '-1', fraction: '0.5', 'many digits': manyDigits,
};

function createRow(key: string, value: string, version = 5): StoreRow {
	return {key, value, version};
}

/** Creates the text of a valid row in which a field has a value that is given as JSON. */
function createText(key: Key, field: string, json: string): string {
	return `${JSON.stringify({...validRows[key], [field]: undefined}).slice(0, -1)},"${field}":${json}}`;
}

/** Parses rows beside a valid one of another host; returns the keys that were left out, and whether that one was kept. */
function parse(...rows: readonly StoreRow[]) {
	const leftOut: string[] = [];
	const other = createRow('host/other', JSON.stringify({...validRows['host/a1'], name: 'other'}));
	const fleet = parseFleetRows([...rows, other], ({key}) => {
		leftOut.push(key);
	});
	return {fleet, leftOut, isOtherKept: fleet.hosts.has('other')};
}

describe('parseFleetRows', () => {
	it('parses the rows of each kind', () => {
		const version = encodeStoreVersion({era: 2, counter: 9});
		const {fleet, leftOut} = parse(...Object.entries(validRows).map(([key, value]) => createRow(key, JSON.stringify(value), version)));
		expect(leftOut).to.deep.equal([]);
		expect(fleet.era).to.equal(2);
		expect(fleet.failoverLock).to.deep.equal({...validRows.duty, version});
		expect(fleet.rateAllocators.get(7)).to.deep.equal({...validRows['rate-home/7'], version});
		expect(fleet.groups.get('pondbook')).to.deep.equal({...validRows['group/pondbook'], version});
		expect(fleet.hosts.get('a1')).to.deep.equal({...validRows['host/a1'], version});
	});

	it('sorts out a host that is being removed', () => {
		const {fleet} = parse(createRow('host/a1', createText('host/a1', 'isGone', 'true')));
		expect([...fleet.hosts.keys()]).to.deep.equal(['other']);
		expect([...fleet.goneHosts.keys()]).to.deep.equal(['a1']);
	});

	it('ignores unknown fields, and rows with keys of other programs', () => {
		const {fleet, leftOut} = parse(
			...Object.keys(validRows).map(key => createRow(key, createText(key as Key, 'later', deeplyNested))),
			createRow('other', deeplyNested),
			createRow('__proto__', '{}'),
		);
		expect(leftOut).to.deep.equal([]);
		expect(JSON.stringify([...fleet.hosts.values(), ...fleet.groups.values()])).to.not.include('later');
	});

	for (const key of Object.keys(validRows) as readonly Key[]) {
		for (const field of Object.keys(validRows[key])) {
			const missing = {name: 'missing', text: JSON.stringify({...validRows[key], [field]: undefined})};
			const texts = [
				...optionalFields.has(field) ? [] : [missing],
				...Object.entries(oddValues).map(([name, json]) => ({name, text: createText(key, field, json)})),
			].filter(({name}) => !(field === 'leaseMs' && name === 'fraction'));
			for (const {name, text} of texts) {
				// Guards against values that others have written and that end the process where they are used.
				it(`leaves out ${key} whose ${field} is ${name}, and keeps the others`, () => {
					expect(parse(createRow(key, text))).to.deep.include({leftOut: [key], isOtherKept: true});
				});
			}
		}
	}

	const oddRows = [
		{name: 'bytes that are not JSON', key: 'group/pondbook', text: '\u0000{'},
		{name: 'arrays in arrays', key: 'host/a1', text: deeplyNested},
		{name: 'a text', key: 'duty', text: '"duty"'},
		{name: 'null', key: 'rate-home/0', text: 'null'},
		{name: 'the name of another host', key: 'host/b1', text: JSON.stringify(validRows['host/a1'])},
		{name: 'an allocator of a partition that does not exist', key: 'rate-home/8', text: JSON.stringify(validRows['rate-home/7'])},
		{name: 'an allocator of no partition', key: 'rate-home/x', text: JSON.stringify(validRows['rate-home/7'])},
		...['group/', 'group/pond book', 'group/\uDFFF', 'group/a\r\n'].map(key => ({name: 'a name that cannot be that of a group', key, text: JSON.stringify(validRows['group/pondbook'])})),
		{name: 'an unknown state', key: 'group/pondbook', text: createText('group/pondbook', 'state', '"resting"')},
		{name: 'a lease of a year', key: 'host/a1', text: createText('host/a1', 'leaseMs', '31536000000')},
		{name: 'a lease without a duration', key: 'host/a1', text: createText('host/a1', 'leaseMs', '0')},
		...['10.1.0.26', '10.1.0.26:0', '10.1.0.26:84650', '10.1.0.26:-1', '10.1.0.26:80.5', 'localhost:7560', ':7560', ''].map(address => ({
			name: `the address "${address}"`, key: 'host/a1', text: createText('host/a1', 'address', JSON.stringify(address)),
		})),
	];
	for (const {name, key, text} of oddRows) {
		it(`leaves out ${key} with ${name}, and keeps the others`, () => {
			expect(parse(createRow(key, text))).to.deep.include({leftOut: [key], isOtherKept: true});
		});
	}

	it('parses any rows without an exception, and keeps a valid one', () => {
		const json = fc.oneof(fc.json({maxDepth: 6}), fc.string(), fc.constantFrom(...Object.values(oddValues)));
		const changedRow = fc.constantFrom(...Object.keys(validRows) as readonly Key[])
			.chain(key => fc.tuple(fc.constant(key), fc.constantFrom(...Object.keys(validRows[key])), json))
			.map(([key, field, value]) => createRow(key, createText(key, field, value)));
		const anyRow = fc.tuple(fc.oneof(fc.string(), fc.string().map(text => `group/${text}`), fc.string().map(text => `host/${text}`)), json)
			.map(([key, value]) => createRow(key, value));
		fc.assert(fc.property(fc.array(fc.oneof(changedRow, anyRow), {maxLength: 5}), rows => {
			const {fleet, isOtherKept} = parse(...rows);
			expect(isOtherKept).to.equal(true);
			for (const {epoch, token} of fleet.groups.values()) {
				expect(BigInt(epoch) + BigInt(token) >= 0n).to.equal(true);
			}
		}), {seed: 34, numRuns: 3000});
	});

	const nameOrOdd = (name: string) => fc.oneof({weight: 3, arbitrary: fc.constant(name)}, {weight: 1, arbitrary: oddName});
	const changed = fc.oneof(
		fc.record({key: fc.constant('duty'), value: createChangedJson(validRows.duty)}),
		fc.record({key: nameOrOdd('7').map(name => `rate-home/${name}`), value: createChangedJson(validRows['rate-home/7'])}),
		fc.record({key: nameOrOdd('pondbook').map(name => `group/${name}`), value: createChangedJson(validRows['group/pondbook'])}),
		fc.record({key: nameOrOdd('a1').map(name => `host/${name}`), value: createChangedJson(validRows['host/a1'])}),
	);

	it('returns only rows in range and with names that can be used, and leaves out each other one once, for rows with odd places', () => {
		const isUsable = (name: string) => name !== '' && name.isWellFormed() && !/[\s\p{Cc}]/v.test(name);
		const isCounted = (number: number) => Number.isSafeInteger(number) && number >= 0;
		fc.assert(fc.property(changed, row => {
			const {fleet, leftOut, isOtherKept} = parse(createRow(row.key, row.value));
			const {groups, hosts, goneHosts, rateAllocators, failoverLock} = fleet;
			expect(isOtherKept).to.equal(true);
			const found = groups.size + hosts.size + goneHosts.size + rateAllocators.size + (failoverLock === undefined ? 0 : 1);
			expect(found - 1 + leftOut.length).to.equal(row.key === 'host/other' && leftOut.length === 0 ? 0 : 1);
			for (const [name, {
				primary, successor, holder, epoch, token, term = 0, holderIncarnation = 0, copies = [],
			}] of groups) {
				expect([name, primary, holder, successor === '' ? 'none' : successor].every(text => isUsable(text))).to.equal(true);
				expect(copies.every(copy => isUsable(copy.id) && isCounted(copy.born ?? 0))).to.equal(true);
				expect([epoch, token, term, holderIncarnation].every(number => isCounted(number))).to.equal(true);
			}

			for (const [name, host] of [...hosts, ...goneHosts]) {
				expect([name, host.zone].every(text => isUsable(text))).to.equal(true);
				expect(host.name).to.equal(name);
				expect(host.address).to.match(/^\d+\.\d+\.\d+\.\d+:\d+$/v);
				expect(isCounted(host.incarnation)).to.equal(true);
				expect(host.leaseMs ?? 1).to.be.above(0).and.at.most(60_000);
			}

			for (const [partition, {holder, incarnation, epoch}] of rateAllocators) {
				expect(partition).to.be.within(0, 7);
				expect([isUsable(holder), isCounted(incarnation), isCounted(epoch)]).to.not.include(false);
			}

			if (failoverLock !== undefined) {
				expect([isUsable(failoverLock.holder), isCounted(failoverLock.token)]).to.not.include(false);
			}
		}), propertyOptions);
	});

	it('parses rows whose names are those of properties of all objects', () => {
		for (const name of ['__proto__', 'constructor', 'toString']) {
			const {fleet, leftOut} = parse(
				createRow(`group/${name}`, JSON.stringify(validRows['group/pondbook'])),
				createRow(`host/${name}`, JSON.stringify({...validRows['host/a1'], name})),
			);
			expect(leftOut).to.deep.equal([]);
			expect([fleet.groups.get(name)?.primary, fleet.hosts.get(name)?.name]).to.deep.equal(['i-1', name]);
		}
	});
});
