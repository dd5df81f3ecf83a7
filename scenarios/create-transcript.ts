import type {Transcript} from './transcript.ts';

/** Creates an empty transcript. */
export function createTranscript(): Transcript {
	const lines: string[] = [];
	return {
		add(line) {
			lines.push(line);
		},
		read: () => `${lines.join('\n')}\n`,
	};
}
