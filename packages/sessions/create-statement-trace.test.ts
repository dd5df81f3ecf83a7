import {expect} from 'chai';
import {createStatementTrace} from './create-statement-trace.ts';

describe('createStatementTrace', () => {
	it('sums the spans of all attempts', () => {
		const trace = createStatementTrace();
		const job = {
			way: 4, queue: 1, open: 0, setup: 0, instance: 30,
		};
		trace.addSpan('rate', 2);
		trace.addJobSpans(job);
		trace.addJobSpans(undefined);
		trace.addJobSpans({...job, open: 12});
		trace.addStep('i-1: done');
		expect(Object.fromEntries(trace.spans)).to.deep.equal({
			rate: 2, way: 8, queue: 2, open: 12, setup: 0, instance: 60,
		});
		expect(trace.steps).to.deep.equal(['i-1: done']);
	});
});
