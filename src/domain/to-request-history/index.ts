/** What became of one request, from the lines of all hosts. */
import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';
import {type LogLine} from '../parse-log-lines/index.js';

export type RequestHistory = {
	/** The request's own lines, in order. */
	own: LogLine[];
	/** What its host came to believe of the servers that it was sent to, and of the platform, around that time. */
	beliefs: LogLine[];
	/** In a sentence, what ended it; `undefined` when its end is not among the lines. */
	verdict: string | undefined;
};

/** Time before the request, and after its end, in which beliefs of its host are shown. */
const contextBeforeMs: Milliseconds = 10 * msPerSecond;
const contextAfterMs: Milliseconds = 3 * msPerSecond;

/** Fields in which a line names servers. */
const serverFields = ['server', 'prefillServer', 'decodeServer'] as const;

/** Messages that say what a host believes of more than one server. */
const hostWideMessages = new Set([
	'configuration in force', 'platform answers', 'platform does not answer', 'platform no longer knows what changed, reading all anew', 'woke up after a pause', 'stopping', 'listening',
]);

function toServers(lines: readonly LogLine[]): ReadonlySet<string> {
	return new Set(lines.flatMap(({fields}) => serverFields.map(name => fields[name])).filter(value => typeof value === 'string'));
}

const explanations: Readonly<Record<string, string>> = {
	complete: 'it was answered',
	'no-capacity': 'no server had room, or none was in service',
	'would-miss-target': 'it waited for room as long as its answer could be in time',
	'queue-full': 'too many requests waited already',
	'backend-failed': 'its last server failed',
	'deadline-passed': 'its time was over',
	'caller-gone': 'its caller left',
	'no-rule': 'no rule matches it',
	quarantined: 'several servers crashed while they ran it or a repeat of it',
};

function toVerdict(own: readonly LogLine[]): string | undefined {
	const end = own.findLast(({message}) => message === 'request ended' || message === 'request refused');
	if (end === undefined) {
		return undefined;
	}

	const reason = String(end.fields.reason ?? end.message);
	const failures = own.filter(({message}) => message === 'attempt failed' || message === 'no place' || message === 'failed answer passed on');
	const last = failures.at(-1);
	const why = last === undefined ? '' : `; the last failure, of ${failures.length}: ${toFieldsText(last)}`;
	const full = own.some(({message}) => message === 'every server is full') ? '; every decode server was full' : '';
	return `${reason}: ${explanations[reason] ?? 'see its last line'}${full}${why}`;
}

/**
 * @param line - A log line.
 * @returns Its fields as `name=value`, without the request's id.
 */
export function toFieldsText({fields}: LogLine): string {
	return Object.entries(fields).filter(([name]) => name !== 'requestId').map(([name, value]) => `${name}=${value}`).join(' ');
}

/**
 * Finds a request's story.
 *
 * @param lines - Lines of all hosts, in order.
 * @param requestId - The id that its caller sent or was told.
 * @returns The story; without own lines, no host wrote of it.
 *
 * @example
 * ```ts
 * toRequestStory(parseLogLines(texts).lines, '9c41d07be2a35f68').verdict; // => 'complete: it was answered'
 * ```
 */
export function toRequestHistory(lines: readonly LogLine[], requestId: string): RequestHistory {
	const own = lines.filter(({fields}) => fields.requestId === requestId);
	const [first] = own;
	if (first === undefined) {
		return {own, beliefs: [], verdict: undefined};
	}

	const servers = toServers(own);
	const hosts = new Set(own.map(({host}) => host));
	const until = own.at(-1)!.at + contextAfterMs;
	const beliefs = lines.filter(({at, host, message, fields}) =>
		hosts.has(host)
		&& fields.requestId === undefined
		&& at >= first.at - contextBeforeMs && at <= until
		&& (hostWideMessages.has(message) || serverFields.some(name => servers.has(String(fields[name])))));
	return {own, beliefs, verdict: toVerdict(own)};
}
