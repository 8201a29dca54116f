/** A log sink for tests that read the log of a program. */
import {type LineSink} from '../../../src/adapters/log/bounded-sink.js';

export type LogFields = Record<string, unknown>;

export type CollectedLines = {
	sink: LineSink;
	/** Returns the parsed lines written so far. */
	lines: () => readonly LogFields[];
};

/** Creates a sink that parses and keeps each line written to it. */
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
