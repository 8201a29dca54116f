/** Merges log lines of several hosts into a timeline, in which the same change at several hosts is one row. */
import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';
import {type LogLine} from '../parse-log-lines/index.js';

export type TimelineRow = {
	message: string;
	/** Fields that identify the change, such as server, state and edition. */
	subject: string;
	/** Time at which the first host logged the change, milliseconds since 1970. */
	firstAt: number;
	/** Time at which the last host logged the change, milliseconds since 1970. */
	lastAt: number;
	/** Hosts in the order in which they logged the change. */
	hosts: string[];
};

/** Fields that identify a change; others, such as revisions and counts, differ between hosts. */
const subjectFields = ['server', 'state', 'edition', 'peer', 'kind', 'signal', 'reason'] as const;

/** Longest time between the first and the last host that log the same change; a later line is another change, such as a second restart of a server. */
const sameChangeWindowMs: Milliseconds = 15 * msPerSecond;

function toSubject({fields}: LogLine): string {
	return subjectFields.filter(name => fields[name] !== undefined).map(name => `${name}=${fields[name]}`).join(' ');
}

/**
 * Creates the timeline.
 *
 * @param lines - Log lines of all hosts, in order; lines about requests are left out.
 * @returns Rows in the order of their first lines.
 *
 * @example
 * ```ts
 * toEventTimeline(parseLogLines(texts).lines)[0]?.hosts; // => ['front-a-1', 'front-b-1']
 * ```
 */
export function toEventTimeline(lines: readonly LogLine[]): TimelineRow[] {
	const rows: TimelineRow[] = [];
	const open = new Map<string, TimelineRow>();
	for (const line of lines.filter(({fields}) => fields.requestId === undefined)) {
		const {message, host, at} = line;
		const subject = toSubject(line);
		const key = `${message} ${subject}`;
		const row = open.get(key);
		if (row === undefined || row.hosts.includes(host) || at - row.firstAt > sameChangeWindowMs) {
			const next = {
				message, subject, firstAt: at, lastAt: at, hosts: [host],
			};
			open.set(key, next);
			rows.push(next);
		} else {
			row.hosts.push(host);
			row.lastAt = at;
		}
	}

	return rows;
}
