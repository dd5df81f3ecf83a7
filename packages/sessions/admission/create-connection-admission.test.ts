import {expect} from 'chai';
import {createConnectionAdmission} from './create-connection-admission.ts';

describe('createConnectionAdmission', () => {
	const cases = [
		{
			name: 'gives the place of the oldest idle connection to a new one', events: ['open a', 'open b', 'open c'], expected: {closed: ['a'], refused: []},
		},
		{
			name: 'closes no connection whose session has started', events: ['open a', 'start a', 'open b', 'open c'], expected: {closed: ['b'], refused: []},
		},
		{
			name: 'refuses a new connection beside sessions only', events: ['open a', 'start a', 'open b', 'start b', 'open c'], expected: {closed: [], refused: ['c']},
		},
		{
			name: 'gives the place of a session that has stalled to a new one', events: ['open a', 'start a', 'open b', 'start b', 'stall b', 'open c'], expected: {closed: ['b'], refused: []},
		},
		{
			name: 'keeps a session that goes on after it had stalled', events: ['open a', 'start a', 'open b', 'start b', 'stall b', 'go-on b', 'open c'], expected: {closed: [], refused: ['c']},
		},
		{
			name: 'gives the place of an idle connection away before that of a session that has stalled', events: ['open a', 'start a', 'stall a', 'open b', 'open c'], expected: {closed: ['b'], refused: []},
		},
		{
			name: 'takes a new connection in the place of a session that has ended', events: ['open a', 'start a', 'open b', 'start b', 'end a', 'open c'], expected: {closed: [], refused: []},
		},
		{
			name: 'gives the place of a session that has ended away before all others', events: ['open a', 'open b', 'start b', 'finish b', 'open c'], expected: {closed: ['b'], refused: []},
		},
		{
			name: 'gives no place back to a session that ends after it gave way',
			events: ['open a', 'open b', 'start b', 'open c', 'start c', 'finish a', 'open d'],
			expected: {closed: ['a'], refused: ['d']},
		},
		{
			name: 'gives no place back to a connection that starts a session after it gave way', events: ['open a', 'open b', 'open c', 'start a', 'start b', 'start c', 'open d'], expected: {closed: ['a'], refused: ['d']},
		},
	];
	for (const {name, events, expected} of cases) {
		it(name, () => {
			const admission = createConnectionAdmission(2);
			const closed: string[] = [];
			const refused: string[] = [];
			const connections = new Map(['a', 'b', 'c', 'd'].map(id => [id, {
				giveWay() {
					closed.push(id);
				},
			}]));
			for (const event of events) {
				const [kind, id = ''] = event.split(' ');
				const connection = connections.get(id) ?? {giveWay: () => undefined};
				switch (kind) {
					case 'start': {
						admission.keep(connection);

						break;
					}

					case 'stall':
					case 'go-on': {
						admission.setStalled(connection, kind === 'stall');

						break;
					}

					case 'finish': {
						admission.end(connection);

						break;
					}

					case 'end': {
						admission.remove(connection);

						break;
					}

					default: {if (!admission.admit(connection)) {
						refused.push(id);
					}
					}
				}
			}

			expect({closed, refused}).to.deep.equal(expected);
			expect(admission.count()).to.be.at.most(2);
		});
	}
});
