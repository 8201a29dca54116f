/** Turns a server into a candidate, or notes why it is none. */
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerLoad} from '../../create-load-estimate/index.js';
import {createSlowness} from './create-slowness.js';
import {isSoft} from './create-standing.js';
import {type Leniency, type PairSearchOptions, type Search} from './search-types.js';
import {type Candidate} from './to-best-pair.js';
import {type PassedOverReason} from './types.js';

/**
 * What speaks against a server outside the own subset, milliseconds: about the
 * time that prompts of other hosts, sent since its last report, take in a
 * prefill queue; on a decode server the pressure of a full one, so that the
 * own subset is filled first.
 */
const unseenMs = {prefill: 300, decode: 100, plain: 0};

const isFull = (entry: ServerEntry, load: ServerLoad): boolean => entry.role !== 'prefill' && load.slotsUsed >= load.slotsTotal;

/**
 * @param options - Zone of this host, and the records that tell of servers.
 * @returns Functions that judge one server for a search.
 */
export const createCandidates = ({zone, loads, standing, pace, subsets, spills}: PairSearchOptions) => {
	const slowness = createSlowness();

	const readLoad = (entry: ServerEntry, {view, now}: Search): ServerLoad =>
		spills.fill(entry, loads.read(entry, view.servers.get(entry.id), now), view, now);

	const toSlow = (entry: ServerEntry, load: ServerLoad, search: Search): Pick<Candidate, 'stepMs' | 'slowMs'> =>
		entry.role === 'decode'
			? slowness.read(entry, load, {
				pace, readLoad: other => readLoad(other, search), now: search.now, role: search.servers.decode, answer: search.answer,
			})
			: {stepMs: 0, slowMs: 0};

	/** Whether the server counts in this step; notes in `search.met` what speaks against it. */
	const isAccepted = (entry: ServerEntry, search: Search, {isLax = false, isLastResort = false, takesNeverReported = false, zone: summarised}: Leniency): boolean => {
		const reason = standing.toReason(entry, isLastResort ? {...search, isLastResort} : search, search.random());
		if (reason === undefined || (reason === 'unknown-load' && entry.zone === summarised)) {
			return true;
		}

		const hasNeverReported = reason === 'unknown-load' && search.view.servers.get(entry.id)?.load === undefined;
		search.met.neverReported ||= hasNeverReported;
		search.met.lost ||= reason === 'unreachable' || reason === 'ejected';
		search.met.soft ||= isSoft(reason);
		return (isLax && isSoft(reason)) || (takesNeverReported && hasNeverReported);
	};

	return {
		/**
		 * @param entry - The server.
		 * @param search - Its `met` notes why a server was passed over.
		 * @param leniency - What is let pass in this step.
		 * @returns The server with what is known of it, or `undefined` if it does not count or is full.
		 */
		toCandidate(entry: ServerEntry, search: Search, leniency: Leniency): Candidate | undefined {
			if (!isAccepted(entry, search, leniency)) {
				return undefined;
			}

			const load = readLoad(entry, search);
			if (isFull(entry, load)) {
				search.met.full = true;
				return undefined;
			}

			return {
				entry,
				load,
				version: search.view.servers.get(entry.id)?.load?.version,
				cachedTokens: search.cachedTokens.get(entry.id) ?? 0,
				...toSlow(entry, load, search),
				unseenMs: subsets.read(search.servers[entry.role])?.has(entry) === false ? unseenMs[entry.role] : 0,
			};
		},
		/**
		 * Worked out after the fact, for a person who asks.
		 *
		 * @param entry - A server that was not taken.
		 * @param search - The search that passed it over; `met` stays as it is.
		 * @returns Why.
		 */
		toPassedOver(entry: ServerEntry, search: Search): PassedOverReason {
			const reason = standing.toReason(entry, search, 0);
			if (reason !== undefined) {
				return reason;
			}

			const load = readLoad(entry, search);
			if (isFull(entry, load)) {
				return 'full';
			}

			if (toSlow(entry, load, search).slowMs > 0) {
				return 'slow';
			}

			return entry.zone === zone ? 'worse' : 'other-zone';
		},
	};
};

export type Candidates = ReturnType<typeof createCandidates>;
