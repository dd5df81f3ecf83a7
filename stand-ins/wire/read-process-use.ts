import {readdirSync, readFileSync} from 'node:fs';

/** What a process has taken of its machine. */
type ProcessUse = {
	/** Largest resident memory so far, in megabytes. */
	readonly peakMemoryMb: number;
	/** Descriptors that are open now. */
	readonly descriptors: number;
};

/** Reads what a running process has taken of its machine. */
export function readProcessUse(pid: number): ProcessUse {
	const peak = /^VmHWM:\s*(?<kibibytes>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
	return {
		peakMemoryMb: Number(peak?.groups?.['kibibytes']) * 1024 / 1e6,
		descriptors: readdirSync(`/proc/${pid}/fd`).length,
	};
}
