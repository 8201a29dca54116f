/** `banyanport explain-request`: the history of one request from the log lines of all hosts. */
import {err, ok} from 'neverthrow';
import {type LogLine} from '../../../domain/parse-log-lines/index.js';
import {toFieldsText, toRequestHistory} from '../../../domain/to-request-history/index.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {readLogs} from '../_lib/read-logs.js';

/**
 * Writes the history of a request.
 *
 * @param io - Files and output.
 * @param files - Log files of hosts, `-` for the standard input.
 * @param options - The request's id; `json` for programs.
 * @returns 0 when a log line names the request, 1 when none does, 3 when a file can't be read.
 */
export async function runExplainRequest(io: CliIo, files: readonly string[], options: {id: string; json: boolean}): Promise<CommandResult> {
	const read = await readLogs(io, files);
	if (read.isErr()) {
		return err(read.error);
	}

	const history = toRequestHistory(read.value, options.id);
	if (options.json) {
		io.write(toJsonText({requestId: options.id, ...history}));
	} else {
		io.write(toHistoryText(history));
	}

	if (history.own.length > 0) {
		return ok(exitCodes.fine);
	}

	io.writeError(`no line names ${options.id}: give the files of all hosts for the time of the request, and look for "log lines dropped" in them\n`);
	return ok(exitCodes.faults);
}

function toHistoryText({own, beliefs, verdict}: ReturnType<typeof toRequestHistory>): string {
	const [first] = own;
	if (first === undefined) {
		return '';
	}

	const toRow = (line: LogLine, mark: string): string => `${mark} ${String(Math.round(line.at - first.at)).padStart(7)} ms  ${line.host}  ${line.message}  ${toFieldsText(line)}`.trimEnd();
	const rows = [
		...own.map(line => ({at: line.at, text: toRow(line, ' ')})),
		...beliefs.map(line => ({at: line.at, text: toRow(line, '~')})),
	].toSorted((a, b) => a.at - b.at);
	return [
		`${new Date(first.at).toISOString()}  request received; "~" marks changes that its host noticed around that time`,
		...rows.map(({text}) => text),
		`ended: ${verdict ?? 'its end is not among these lines'}`,
		'',
	].join('\n');
}
