/** Where a program's log goes in a test that reads it. */
import {type LineSink} from '../../../src/adapters/log/bounded-sink.js';

export type LogFields = Record<string, unknown>;

export type CollectedLines = {
	sink: LineSink;
	/** All lines so far, parsed. */
	lines: () => readonly LogFields[];
};

/** Creates a sink that keeps each line that is written to it. */
export function createCollectedLines(): CollectedLines {
	const lines: LogFields[] = [];
	return {
		sink: {
			write(text, callback) {
				lines.push(...text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as LogFields));
				callback?.();
				return true;
			},
			writableLength: 0,
			on: () => undefined,
		},
		lines: () => lines,
	};
}
