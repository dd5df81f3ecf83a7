import {spawn} from 'node:child_process';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {expect} from 'chai';

const program = `
import {createSessionLog} from '@sapphirefall/sessions';
let dropped = 0;
const log = createSessionLog({host: 'a1', output: process.stdout, now: () => performance.now(), onDropped() { dropped++; }});
let ticks = 0;
const timer = setInterval(() => {
	ticks++;
	for (let number = 0; number < 20; number++) {
		log.info({padding: 'x'.repeat(2000)}, 'test: A line that nobody reads.');
	}
	if (ticks === 150) {
		clearInterval(timer);
		process.stderr.write(JSON.stringify({ticks, dropped}));
		process.exit(0);
	}
}, 10);
`;

describe('createSessionLog', () => {
	it('does not block the process when nobody reads the pipe', async () => {
		const child = spawn(process.execPath, ['--import=tsx', '--input-type=module', '--eval', program], {cwd: import.meta.dirname, stdio: ['ignore', 'pipe', 'pipe']});
		const output = await text(child.stderr);
		expect(output).to.match(/"ticks":150/v);
		expect(JSON.parse(output)).to.have.property('dropped').above(2000);
		child.kill();
	}).timeout(20_000);
});
