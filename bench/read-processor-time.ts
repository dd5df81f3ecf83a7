import {readFileSync} from 'node:fs';

/** Clock ticks per second in `/proc/PID/stat` (`USER_HZ`, 100 on Linux). */
const ticksPerSecond = 100;

/** Indexes of `utime` and `stime`, the ticks in user and in kernel mode, among the fields after the process name. */
const userField = 11;
const kernelField = 12;

/** Reads the processor time that a process has used, in milliseconds. Works on Linux only, as it reads `/proc`. */
export function readProcessorTime(pid: number): number {
	const state = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = state.slice(state.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userField]) + Number(fields[kernelField])) * 1000 / ticksPerSecond;
}
