import {Writable} from 'node:stream';

/** The part of a writable stream that the log needs. */
export type LineSink = {
	write: (text: string, callback?: (error?: Error | null) => void) => boolean;
	readonly writableLength: number;
	on: (event: 'error', listener: (error: Error) => void) => unknown;
};

export type BoundedSinkOptions = {
	sink: LineSink;
	maxPendingBytes: number;
	/** Makes the line that says how many lines were dropped. */
	toDroppedLine: (count: number) => string;
};

/**
 * Creates a stream for winston that never holds more than a bound.
 *
 * A reader of standard output that stops reading (a full pipe, a stuck log
 * collector) would otherwise make the process keep every line until its memory
 * ends. Lines over the bound are dropped, counted, and reported by the first
 * line that fits again, so that a gap in a log is never silent.
 *
 * @param options - Where lines go, the bound, and the wording of the report.
 * @returns The stream, the count of dropped lines, and a way to wait for what is pending.
 */
export function createBoundedSink(options: BoundedSinkOptions) {
	const {sink, maxPendingBytes, toDroppedLine} = options;
	let dropped = 0;
	let unreported = 0;
	let broken = false;
	// A collector that has closed its end must not end the program.
	sink.on('error', () => {
		broken = true;
	});

	function write(line: string): void {
		if (broken || sink.writableLength + line.length > maxPendingBytes) {
			dropped++;
			unreported++;
			return;
		}

		if (unreported > 0) {
			const report = toDroppedLine(unreported);
			unreported = 0;
			sink.write(`${report}\n`);
		}

		sink.write(line);
	}

	async function flush(timeoutMs: number): Promise<void> {
		if (broken) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, timeoutMs);
			sink.write('', () => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	// The callback comes at once, also for a dropped line, so that the queues of winston's streams, which have no bound, stay empty.
	const stream = new Writable({
		decodeStrings: false,
		write(line: string, _encoding, callback) {
			write(line);
			callback();
		},
	});

	return {stream, droppedCount: () => dropped, flush};
}
