/** What hosts believed when: the same change at several hosts is one row, with the first and the last to know. */
import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';
import {type LogLine} from '../parse-log-lines/index.js';

export type TimelineRow = {
	message: string;
	/** What tells this change from others: server, state, edition and the like. */
	subject: string;
	/** Time at which the first host wrote of it, milliseconds since 1970. */
	firstAt: number;
	lastAt: number;
	/** Hosts in the order in which they wrote of it. */
	hosts: string[];
};

/** Fields that name what changed; numbers such as revisions and counts differ from host to host. */
const subjectFields = ['server', 'state', 'edition', 'peer', 'kind', 'signal', 'reason'] as const;

/** Longest time between two hosts' words for the same change; what comes later is another one, such as a server's second restart. */
const sameChangeWindowMs: Milliseconds = 15 * msPerSecond;

function toSubject({fields}: LogLine): string {
	return subjectFields.filter(name => fields[name] !== undefined).map(name => `${name}=${fields[name]}`).join(' ');
}

/**
 * Makes the timeline.
 *
 * @param lines - Lines of all hosts, in order; those of requests are left out.
 * @returns Rows in the order of their first word.
 *
 * @example
 * ```ts
 * toBeliefTimeline(parseLogLines(texts).lines)[0]?.hosts; // => ['front-a-1', 'front-b-1']
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
