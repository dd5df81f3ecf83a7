import {readFileSync} from 'node:fs';

/** Ticks of the kernel's clock a second, in which it counts processor time. */
const ticksPerSecond = 100;

/** Fields of the process's state after its name, counted from 0, that hold its ticks in user and in kernel mode. */
const userField = 11;
const kernelField = 12;

/** Reads the milliseconds of processor time that a process has used. */
export function readProcessorTime(pid: number): number {
	const state = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = state.slice(state.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userField]) + Number(fields[kernelField])) * 1000 / ticksPerSecond;
}
