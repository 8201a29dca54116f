/** Turns a server into a candidate, or records why it is not one. */
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerLoad} from '../../create-load-estimate/index.js';
import {createSlowness} from './create-slowness.js';
import {isSoft} from './create-eligibility.js';
import {type Relaxation, type PairSearchOptions, type Search} from './search-types.js';
import {type Candidate} from './to-best-pair.js';
import {type PassedOverReason} from './types.js';

/**
 * Penalty of a server outside the own subset, milliseconds. On a prefill server,
 * about the queueing time of the prompts that other hosts sent since its last
 * report; on a decode server, the penalty of a full one, so that the own subset is
 * filled first.
 */
const unseenLoadMs = {prefill: 300, decode: 100, plain: 0};

const isFull = (entry: ServerEntry, load: ServerLoad): boolean => entry.role !== 'prefill' && load.slotsUsed >= load.slotsTotal;

/**
 * Creates the evaluation of single servers.
 *
 * @param options - Zone of this host, and the records of servers.
 * @returns Functions that evaluate one server for a search.
 */
export const createCandidates = ({zone, loads, eligibility, tokenLatency, subsets, spills}: PairSearchOptions) => {
	const slowness = createSlowness();

	const readLoad = (entry: ServerEntry, {view, now}: Search): ServerLoad =>
		spills.fillUnknownLoad(entry, loads.read(entry, view.servers.get(entry.id), now), view, now);

	const toSlowdown = (entry: ServerEntry, load: ServerLoad, search: Search): Pick<Candidate, 'stepMs' | 'slowdownMs'> =>
		entry.role === 'decode'
			? slowness.read(entry, load, {
				tokenLatency, readLoad: other => readLoad(other, search), now: search.now, role: search.servers.decode, answer: search.answer,
			})
			: {stepMs: 0, slowdownMs: 0};

	/** Whether the server is accepted in this step; records in `search.findings` why it is not. */
	const isAccepted = (entry: ServerEntry, search: Search, {acceptsSoftReasons = false, isLastResort = false, acceptsNeverReported = false, zone: summarised}: Relaxation): boolean => {
		const reason = eligibility.toReason(entry, isLastResort ? {...search, isLastResort} : search, search.random());
		if (reason === undefined || (reason === 'unknown-load' && entry.zone === summarised)) {
			return true;
		}

		const hasNeverReported = reason === 'unknown-load' && search.view.servers.get(entry.id)?.load === undefined;
		search.findings.neverReported ||= hasNeverReported;
		search.findings.unreachable ||= reason === 'unreachable' || reason === 'ejected';
		search.findings.soft ||= isSoft(reason);
		return (acceptsSoftReasons && isSoft(reason)) || (acceptsNeverReported && hasNeverReported);
	};

	return {
		/**
		 * @param entry - The server.
		 * @param search - The search; its `findings` record why a server was passed over.
		 * @param relaxation - Reasons that are ignored in this step.
		 * @returns The candidate, or `undefined` if the server is not accepted or is full.
		 */
		toCandidate(entry: ServerEntry, search: Search, relaxation: Relaxation): Candidate | undefined {
			if (!isAccepted(entry, search, relaxation)) {
				return undefined;
			}

			const load = readLoad(entry, search);
			if (isFull(entry, load)) {
				search.findings.full = true;
				return undefined;
			}

			return {
				entry,
				load,
				version: search.view.servers.get(entry.id)?.load?.version,
				cachedTokens: search.cachedTokens.get(entry.id) ?? 0,
				...toSlowdown(entry, load, search),
				unseenLoadMs: subsets.read(search.servers[entry.role])?.has(entry) === false ? unseenLoadMs[entry.role] : 0,
			};
		},
		/**
		 * Determines afterwards, for the account, why a server was passed over.
		 *
		 * @param entry - A server that was not chosen.
		 * @param search - The search that passed it over; its `findings` stay unchanged.
		 * @returns The reason.
		 */
		toPassedOver(entry: ServerEntry, search: Search): PassedOverReason {
			const reason = eligibility.toReason(entry, search, 0);
			if (reason !== undefined) {
				return reason;
			}

			const load = readLoad(entry, search);
			if (isFull(entry, load)) {
				return 'full';
			}

			if (toSlowdown(entry, load, search).slowdownMs > 0) {
				return 'slow';
			}

			return entry.zone === zone ? 'worse' : 'other-zone';
		},
	};
};

export type Candidates = ReturnType<typeof createCandidates>;
