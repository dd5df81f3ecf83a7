import {Buffer} from 'node:buffer';
import process from 'node:process';
import {spawn} from 'node:child_process';
import type {Child} from './child.ts';

/**
 * Starts a child process of the cluster.
 *
 * @param script Path of the TypeScript program.
 * @param arguments_ Command-line arguments of the program.
 */
export function startChild(script: string, arguments_: readonly string[]): Child {
	const child = spawn(process.execPath, ['--import=tsx', script, ...arguments_], {stdio: ['ignore', 'pipe', 'pipe']});
	const output: Buffer[] = [];
	const errors: Buffer[] = [];
	child.stdout.on('data', (chunk: Buffer) => output.push(chunk));
	child.stderr.on('data', (chunk: Buffer) => errors.push(chunk));
	return {
		signal(name) {
			child.kill(name);
		},
		exited: new Promise(resolve => {
			child.on('exit', resolve);
		}),
		readOutput: () => Buffer.concat(output).toString('utf8'),
		readErrors: () => Buffer.concat(errors).toString('utf8'),
	};
}
