import {type Log} from '../../../adapters/log/index.js';
import {type HeldNotice} from '../../../domain/to-held-notices/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerMinute} from '../../../ports/units.js';

/** Time after which a waiting order counts as stuck and staff are warned; most loads of weights finish sooner. */
const stuckMs = 5 * msPerMinute;

export type HeldOrders = ReadonlyArray<HeldNotice & {waitsForMs: Milliseconds; isStuck: boolean}>;

/**
 * Remembers since when orders wait, and logs one warning for each group that is stuck.
 *
 * @param log - Receives the warnings.
 * @returns `note` records the notices of a planning round, `list` returns them with their ages.
 */
export function watchHeldOrders(log: Log) {
	const since = new Map<string, {at: Milliseconds; isTold: boolean}>();
	let last: readonly HeldNotice[] = [];

	const toKey = ({pool, zone, reason}: HeldNotice): string => `${pool} ${zone} ${reason}`;

	const isStuck = (notice: HeldNotice, now: Milliseconds): boolean => notice.needsStaff && now - (since.get(toKey(notice))?.at ?? now) >= stuckMs;

	return {
		note(notices: readonly HeldNotice[], now: Milliseconds): void {
			last = notices;
			const keys = new Set(notices.map(notice => toKey(notice)));
			for (const key of since.keys()) {
				if (!keys.has(key)) {
					since.delete(key);
				}
			}

			for (const notice of notices) {
				const known = since.get(toKey(notice)) ?? {at: now, isTold: false};
				since.set(toKey(notice), known);
				if (!known.isTold && isStuck(notice, now)) {
					known.isTold = true;
					log.warn('orders wait', {
						server: notice.servers[0], kind: notice.reason, reason: `${notice.problem} (pool ${notice.pool}, zone ${notice.zone}, ${notice.count} servers)`, remedy: notice.remedy,
					});
				}
			}
		},
		list: (now: Milliseconds): HeldOrders => last.map(notice => ({...notice, waitsForMs: Math.round(now - (since.get(toKey(notice))?.at ?? now)), isStuck: isStuck(notice, now)})),
	};
}
