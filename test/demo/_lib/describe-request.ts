/** Describes how a request was served, from the log lines of the entry that served it. */
import {type LogLine} from '../../_lib/start-program/index.js';

function toText(line: LogLine | undefined, name: string): string {
	const value = line?.[name];
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '?';
}

function toMs(line: LogLine | undefined, name: string): string {
	const value = line?.[name];
	return typeof value === 'number' ? `${value.toFixed(1)} ms` : '?';
}

/**
 * Turns the log lines of one request into sentences.
 *
 * @param lines - Lines with the request's id, oldest first.
 * @returns Sentences in the order of the request's stages.
 */
export function describeRequest(lines: readonly LogLine[]): string[] {
	const find = (message: string) => lines.find(line => line.message === message);
	const received = find('request received');
	const attempts = lines.filter(line => line.message === 'attempt started');
	const ended = find('request ended');
	const refused = find('request refused');
	return [
		...(received ? [`rule "${toText(received, 'rule')}" decided: pool ${toText(received, 'pool')}`] : []),
		...attempts.map(line => `attempt ${toText(line, 'attempt')}: prefill on ${toText(line, 'prefillServer')}, decode on ${toText(line, 'decodeServer')}`),
		...(find('first token relayed') ? [`first token after ${toMs(find('first token relayed'), 'firstTokenMs')}`] : []),
		...(ended ? [`ended after ${toMs(ended, 'durationMs')}, outcome "${toText(ended, 'outcome')}"`] : []),
		...(refused ? [`refused: ${toText(refused, 'reason')}, outcome "${toText(refused, 'outcome')}"`] : []),
	];
}
