import {expect} from 'chai';
import {createAllocatorContact} from './create-allocator-contact.ts';

type Contact = ReturnType<typeof createAllocatorContact>;

describe(createAllocatorContact.name, () => {
	const settle = (contact: Contact) => {
		contact.begin(1, 0);
		contact.recordAnswer({epoch: 1, isSettled: true}, 100);
	};

	const cases: ReadonlyArray<{readonly name: string; readonly play: (contact: Contact) => void; readonly at: number; readonly unassignedFor: number | undefined; readonly unansweredSince: number | undefined}> = [
		{
			name: 'counts from the start while no allocator is known', play: () => undefined, at: 300, unassignedFor: 300, unansweredSince: undefined,
		},
		{
			name: 'finds rates assigned once the allocator knows the shares of all hosts', play: settle, at: 5000, unassignedFor: undefined, unansweredSince: undefined,
		},
		{
			name: 'counts from the first claim that a lost allocator left unanswered', play(contact) {
				settle(contact);
				contact.recordSilence(2000);
				contact.recordSilence(2200);
			}, at: 2300, unassignedFor: 300, unansweredSince: 2000,
		},
		{
			name: 'does not take a slow allocator for a lost one', play(contact) {
				settle(contact);
				contact.recordSilence(2000);
				contact.recordSign(1);
			}, at: 2300, unassignedFor: undefined, unansweredSince: undefined,
		},
		{
			name: 'takes no late answer of the allocator before for one of the present one', play(contact) {
				settle(contact);
				contact.begin(2, 3000);
				contact.recordSilence(3100);
				contact.recordSign(1);
				contact.recordAnswer({epoch: 1, isSettled: true}, 3200);
			}, at: 3300, unassignedFor: 300, unansweredSince: 3100,
		},
		{
			name: 'counts anew when an allocator is lost a second time', play(contact) {
				settle(contact);
				contact.recordSilence(2000);
				contact.begin(2, 2600);
				contact.recordAnswer({epoch: 2, isSettled: true}, 2700);
				contact.recordSilence(9000);
			}, at: 9100, unassignedFor: 100, unansweredSince: 9000,
		},
	];
	for (const {name, play, at, unassignedFor, unansweredSince} of cases) {
		it(name, () => {
			const contact = createAllocatorContact(0);
			play(contact);
			expect({unassignedFor: contact.findUnassignedTime(at), unansweredSince: contact.unansweredSince()}).to.deep.equal({unassignedFor, unansweredSince});
		});
	}
});
