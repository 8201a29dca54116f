/** Finds what happened to one request, from the log lines of all hosts. */
import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';
import {type LogLine} from '../parse-log-lines/index.js';

export type RequestHistory = {
	/** Lines about the request itself, in order. */
	own: LogLine[];
	/** Lines of the request's host, around that time, about changes in its view of the servers concerned and of the platform. */
	beliefs: LogLine[];
	/** Why the request ended, in one sentence; `undefined` when the lines don't contain the end. */
	verdict: string | undefined;
};

/** Times before the first and after the last line of the request for which other lines of the host are included. */
const contextBeforeMs: Milliseconds = 10 * msPerSecond;
const contextAfterMs: Milliseconds = 3 * msPerSecond;

/** Fields that name servers. */
const serverFields = ['server', 'prefillServer', 'decodeServer'] as const;

/** Messages that concern the whole host rather than one server. */
const hostWideMessages = new Set([
	'configuration in force', 'platform answers', 'platform does not answer', 'platform no longer knows what changed, reading all anew', 'changes are too long for one answer, reading all anew', 'woke up after a pause', 'stopping', 'listening', 'no server of the pool can be reached', 'servers of the pool can be reached again',
]);

function toServers(lines: readonly LogLine[]): ReadonlySet<string> {
	return new Set(lines.flatMap(({fields}) => serverFields.map(name => fields[name])).filter(value => typeof value === 'string'));
}

const explanations: Readonly<Record<string, string>> = {
	complete: 'the request was answered',
	'no-capacity': 'no server had room, or none was in service',
	'would-miss-target': 'the request waited until its answer could no longer meet the target',
	'queue-full': 'too many requests were already waiting',
	'backend-failed': 'the last server failed',
	'deadline-passed': 'the deadline had passed',
	'caller-gone': 'the caller disconnected',
	'no-rule': 'no rule matches the request',
	'origin-gone': 'no server of the software version that began the stream is left',
	'origin-unknown': 'no host that answers knows which servers began the stream',
	'part-quarantined': 'several servers crashed while they ran requests that share a part of its prompt (parts)',
	quarantined: 'several servers crashed while they ran the request or a repetition of it',
};

/** Says with which request the stream of a resumption began, whose own history tells why it broke. */
function toOriginText({fields: {resumes, softwareVersion}}: LogLine): string {
	const where = softwareVersion === undefined ? '' : ` at software version ${softwareVersion}`;
	return resumes === undefined ? 'its caller did not name' : `began with request ${resumes}${where}`;
}

function toVerdict(own: readonly LogLine[]): string | undefined {
	const passed = own.find(({message}) => message === 'passed on');
	// A host that served a request for another one logs an end too; the caller saw that of the host which passed it on.
	const end = own.findLast(({message, host}) => (message === 'request ended' || message === 'request refused') && (passed === undefined || host === passed.host));
	if (end === undefined) {
		return undefined;
	}

	const reason = String(end.fields.reason ?? end.message);
	const failures = own.filter(({message}) => message === 'attempt failed' || message === 'no place' || message === 'failed answer passed on');
	const last = failures.at(-1);
	const why = last === undefined ? '' : `; the last failure, of ${failures.length}: ${toFieldsText(last)}`;
	const full = own.some(({message}) => message === 'every server is full') ? '; every decode server was full' : '';
	const found = own.find(({message}) => message === 'stream origin found' || message === 'stream origin unknown');
	const continued = found === undefined ? '' : `; continues a stream that ${toOriginText(found)}`;
	const by = passed === undefined ? '' : `; passed on by ${passed.host}, which reached no server of the pool`;
	return `${reason}: ${explanations[reason] ?? 'see the last line of the request'}${full}${by}${continued}${why}`;
}

/**
 * Formats the fields of a log line.
 *
 * @param line - A log line.
 * @returns The fields as `name=value`, without the request's id.
 */
export function toFieldsText({fields}: LogLine): string {
	return Object.entries(fields).filter(([name]) => name !== 'requestId').map(([name, value]) => `${name}=${value}`).join(' ');
}

/**
 * Collects the history of a request.
 *
 * @param lines - Log lines of all hosts, in order.
 * @param requestId - Id of the request, chosen by the caller or returned to it.
 * @returns The history; `own` is empty when no host logged the request.
 *
 * @example
 * ```ts
 * toRequestHistory(parseLogLines(texts).lines, '9c41d07be2a35f68').verdict; // => 'complete: the request was answered'
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
