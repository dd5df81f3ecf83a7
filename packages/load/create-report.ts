import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import {formatSummary} from './format-summary.ts';
import type {FaultInterval} from './fault-interval.ts';
import type {LoadHistory} from './load-history.ts';
import type {LoadSummary} from './load-summary.ts';

type Options = {
	readonly title: string;
	readonly history: LoadHistory;
	readonly summary: LoadSummary;
	readonly faults: readonly FaultInterval[];
};

const millisecondsPerSecond = 1000;

/** Creates a self-contained HTML page with the measurements of a load and plots over time. */
export async function createReport(options: Options): Promise<string> {
	const plots = await Promise.all([
		drawPlot(createLatencyPlot(options)),
		drawPlot(createAnswerPlot(options)),
		drawPlot(createFaultPlot(options)),
	]);
	return [
		'<!doctype html>',
		'<html lang="en">',
		`<head><meta charset="utf-8"><title>${escapeText(options.title)}</title></head>`,
		'<body>',
		`<h1>${escapeText(options.title)}</h1>`,
		`<pre>${escapeText(formatSummary(options.summary))}</pre>`,
		...plots,
		'</body>',
		'</html>',
		'',
	].join('\n');
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

async function drawPlot(spec: TopLevelSpec): Promise<string> {
	const view = new View(parse(compile(spec).spec), {renderer: 'none'});
	return view.toSVG();
}

const plotSize = {width: 800, height: 180};

function createLatencyPlot({history}: Options): TopLevelSpec {
	const values = history.outcomes
		.filter(({kind}) => kind === 'done')
		.map(({request, answeredAt}) => ({second: request.scheduledAt / millisecondsPerSecond, latency: Math.max(0.1, answeredAt - request.scheduledAt), class: request.class}));
	return {
		...plotSize,
		title: 'Latency by class',
		data: {values},
		mark: {type: 'point', size: 6},
		encoding: {
			x: {field: 'second', type: 'quantitative', title: 'seconds'},
			y: {
				field: 'latency', type: 'quantitative', scale: {type: 'log'}, title: 'milliseconds',
			},
			color: {field: 'class', type: 'nominal'},
		},
	};
}

function createAnswerPlot({history}: Options): TopLevelSpec {
	const values = history.outcomes.map(({request, kind}) => ({second: request.scheduledAt / millisecondsPerSecond, answer: kind}));
	return {
		...plotSize,
		title: 'Answers a second',
		data: {values},
		mark: 'bar',
		encoding: {
			x: {
				field: 'second', type: 'quantitative', bin: {step: 1}, title: 'seconds',
			},
			y: {aggregate: 'count', type: 'quantitative', title: 'answers'},
			color: {field: 'answer', type: 'nominal'},
		},
	};
}

function createFaultPlot({faults}: Options): TopLevelSpec {
	const values = faults.map(({title, from, to}) => ({title, from: from / millisecondsPerSecond, to: to / millisecondsPerSecond}));
	return {
		...plotSize,
		title: 'Faults',
		data: {values},
		mark: 'bar',
		encoding: {
			x: {field: 'from', type: 'quantitative', title: 'seconds'},
			x2: {field: 'to'},
			y: {field: 'title', type: 'nominal', title: ''},
		},
	};
}
