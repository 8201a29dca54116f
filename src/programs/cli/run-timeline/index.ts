/** `banyanport timeline`: when hosts noticed changes, from their log lines. */
import {err, ok} from 'neverthrow';
import {toEventTimeline, type TimelineRow} from '../../../domain/to-event-timeline/index.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {readLogs} from '../_lib/read-logs.js';

/** Maximum number of hosts named in a row; for more hosts the row gives their number. */
const maxNamedHosts = 3;

/**
 * Writes the timeline.
 *
 * @param io - Files and output.
 * @param files - Log files of hosts, `-` for the standard input.
 * @param options - `json` for programs.
 * @returns 0 when there are rows, 1 when there are none, 3 when a file can't be read.
 */
export async function runTimeline(io: CliIo, files: readonly string[], options: {json: boolean}): Promise<CommandResult> {
	const read = await readLogs(io, files);
	if (read.isErr()) {
		return err(read.error);
	}

	const rows = toEventTimeline(read.value);
	io.write(options.json ? toJsonText({rows}) : rows.map(row => `${toRowText(row)}\n`).join(''));
	return ok(rows.length > 0 ? exitCodes.fine : exitCodes.faults);
}

function toRowText({message, subject, firstAt, lastAt, hosts}: TimelineRow): string {
	const hostsText = hosts.length <= maxNamedHosts ? hosts.join(' ') : `${hosts.length} hosts, ${hosts[0]} first, ${hosts.at(-1)} last`;
	const spreadText = lastAt > firstAt ? ` (all within ${lastAt - firstAt} ms)` : '';
	return `${new Date(firstAt).toISOString()}  ${message}  ${subject}  ${hostsText}${spreadText}`;
}
