import {expect} from 'chai';
import {createSessionMetrics} from './create-session-metrics.ts';
import {createStatementTrace} from './create-statement-trace.ts';

/** Phases of a job whose `way` is what the host's clock counted less what the gateway's did. */
const job = {
	way: 4, queue: 1, open: 0, setup: 0, instance: 30,
};

const oddSpans = [
	{name: 'a gateway whose clock has counted more than that of the host', odd: {way: -0.2}},
	{name: 'a gateway that tells a negative span', odd: {setup: -3}},
	{name: 'a gateway that tells a span without an end', odd: {queue: Number.POSITIVE_INFINITY, way: Number.NEGATIVE_INFINITY}},
	{name: 'a gateway that tells no number', odd: {queue: Number.NaN, way: Number.NaN}},
];

describe('createStatementTrace', () => {
	it('sums the spans of all attempts', () => {
		const trace = createStatementTrace();
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

	for (const {name, odd} of oddSpans) {
		// A host ended with code 1 in the middle of its work, as a counter takes no negative span.
		it(`has spans that the metrics take with ${name}`, () => {
			const trace = createStatementTrace();
			trace.addJobSpans(job);
			trace.addJobSpans({...job, ...odd});
			const {phaseSeconds} = createSessionMetrics();
			for (const [part, span] of trace.spans) {
				phaseSeconds.inc({part}, span / 1000);
			}

			const [counted = ''] = Object.keys(odd);
			expect(trace.spans.get(counted as keyof typeof job)).to.equal(job[counted as keyof typeof job]);
			expect(trace.spans.get('instance')).to.equal(60);
		});
	}
});
