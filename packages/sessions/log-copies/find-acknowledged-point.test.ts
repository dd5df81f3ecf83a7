import {expect} from 'chai';
import {findAcknowledgedPoint} from './find-acknowledged-point.ts';

type Report = Parameters<typeof findAcknowledgedPoint>[0]['reports'][number];

const createReport = (requestedAt: number, number: bigint, {epoch = 4, startedAt}: {readonly epoch?: number; readonly startedAt?: number} = {}): Report => ({
	startedAt, mark: {epoch, position: {term: 3, position: number}, requestedAt},
});
const createNewHost = (startedAt: number): Report => ({startedAt, mark: undefined});

// Guards against the promotion of a replica that lacks commits which a host has acknowledged that was not asked or has ended (review/12).
describe(findAcknowledgedPoint.name, () => {
	const cases: ReadonlyArray<{readonly name: string; readonly reports: ReadonlyArray<Report | undefined>; readonly unchangedSince?: number; readonly expected: bigint | undefined}> = [
		{name: 'the newest position of all hosts', reports: [createReport(100, 7n), createReport(200, 9n), createReport(300, 8n)], expected: 9n},
		{name: 'the newest position in the latest epoch', reports: [createReport(300, 90n, {epoch: 3}), createReport(200, 9n)], expected: 9n},
		{name: 'none if a host does not tell', reports: [createReport(100, 7n), undefined], expected: undefined},
		{name: 'none if no host has asked the primary', reports: [createNewHost(0), createNewHost(0)], expected: undefined},
		{name: 'the newest position if a host has started before and has not asked the primary', reports: [createReport(100, 7n), createNewHost(99)], expected: 7n},
		{name: 'none if a host has started since', reports: [createReport(100, 7n), createNewHost(101)], expected: undefined},
		{name: 'the newest position if a host that has started since has asked the primary', reports: [createReport(100, 7n), createReport(102, 8n, {startedAt: 101})], expected: 8n},
		{
			name: 'the newest position if a process of a host has ended before', reports: [createReport(100, 7n)], unchangedSince: 100, expected: 7n,
		},
		{
			name: 'none if a process of a host has ended since', reports: [createReport(100, 7n)], unchangedSince: 101, expected: undefined,
		},
		{
			name: 'none if a process has ended since the latest epoch was last heard of, though not since an earlier one was', reports: [createReport(300, 90n, {epoch: 3}), createReport(200, 9n)], unchangedSince: 250, expected: undefined,
		},
	];
	for (const {name, reports, unchangedSince = 0, expected} of cases) {
		it(`finds ${name}`, () => {
			expect(findAcknowledgedPoint({reports, hostsUnchangedSince: unchangedSince})?.position).to.equal(expected);
		});
	}
});
