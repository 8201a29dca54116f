/** Reads log files of hosts, and reports how many of their lines are not log lines of banyanport. */
import {ok, err, type Result} from 'neverthrow';
import {parseLogLines, type LogLine} from '../../../domain/parse-log-lines/index.js';
import {type AccessFailure, type CliIo} from './io.js';

/**
 * Reads and parses log files.
 *
 * @param io - Reads files.
 * @param files - Files with lines of one or several hosts.
 * @returns All lines in order, or the first file that can't be read.
 */
export async function readLogs(io: CliIo, files: readonly string[]): Promise<Result<LogLine[], AccessFailure>> {
	const texts: string[] = [];
	for (const file of files) {
		const text = await io.readText(file);
		if (text.isErr()) {
			return err(text.error);
		}

		texts.push(text.value);
	}

	const {lines, unreadable} = parseLogLines(texts);
	if (unreadable > 0) {
		io.writeError(`${unreadable} lines are not log lines of banyanport and were skipped\n`);
	}

	return ok(lines);
}
