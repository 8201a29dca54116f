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
	/** Creates the line that reports how many lines were dropped. */
	toDroppedLine: (count: number) => string;
};

/**
 * Creates a stream for winston with a bounded buffer.
 *
 * If the reader of standard output stops reading (a full pipe, a stuck log
 * collector), the process would otherwise buffer every line until it runs out of
 * memory. Lines above the bound are dropped and counted, and the count is written
 * before the next line that fits, so that a gap in the log is never silent.
 *
 * @param options - Sink, bound, and the text of the report.
 * @returns The stream, the count of dropped lines, and a function that waits for pending lines.
 */
export function createBoundedSink(options: BoundedSinkOptions) {
	const {sink, maxPendingBytes, toDroppedLine} = options;
	let dropped = 0;
	let unreported = 0;
	let broken = false;
	// A log collector that closes its end of the pipe must not end the program.
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

	// The callback is called immediately, even for a dropped line, so that winston's own unbounded queues stay empty.
	const stream = new Writable({
		decodeStrings: false,
		write(line: string, _encoding, callback) {
			write(line);
			callback();
		},
	});

	return {stream, droppedCount: () => dropped, flush};
}
