/** This host's own record, which no other host may raise. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type Incarnation} from '../../../ports/ids.js';
import {type Records} from './create-records.js';
import {type MembershipOptions} from './membership-types.js';
import {type HostRecord} from './types.js';

export type OwnRecord = {
	self: () => HostRecord;
	/** Applies changes to the record and raises its revision. */
	revise: (changes: Partial<HostRecord>, now: Milliseconds) => void;
	/** Refutes a record of this host that this process did not publish; returns whether a refutation was needed. */
	refute: (rumour: HostRecord, now: Milliseconds) => boolean;
	/** Highest incarnation of an earlier entry of this host that any peer has seen, and its address. */
	entrySeen: () => {incarnation: Incarnation; address: string};
	/** Address of another live process that uses this host's name, if one was seen within the timeout (milliseconds). */
	twin: (now: Milliseconds, timeoutMs: Milliseconds) => string | undefined;
};

/**
 * Creates the record and puts it into the table.
 *
 * @param input - The table, and the options of membership.
 * @returns See {@link OwnRecord}.
 */
export function createOwnRecord({records, options}: {records: Records; options: MembershipOptions}): OwnRecord {
	let entrySeen = {incarnation: 0, address: ''};
	let twin: {address: string; heardAt: Milliseconds} | undefined;

	records.merge({
		id: options.id,
		zone: options.zone,
		incarnation: options.incarnation,
		revision: 0,
		life: 'alive',
		agentAddress: options.agentAddress,
		entryAddress: '',
		entryIncarnation: 0,
		entryGone: 0,
		leaving: false,
		witnesses: [],
	}, options.startedAt);

	const self = () => records.get(options.id)!;

	function revise(changes: Partial<HostRecord>, now: Milliseconds) {
		const current = self();
		records.merge({
			...current, life: 'alive', witnesses: [], revision: current.revision + 1, ...changes,
		}, now);
	}

	function noteEntry({entryIncarnation, entryAddress}: HostRecord) {
		if (entryIncarnation > entrySeen.incarnation && entryIncarnation !== self().entryIncarnation) {
			entrySeen = {incarnation: entryIncarnation, address: entryAddress};
		}
	}

	/**
	 * Detects a second process with this host's name. Two such processes raise their
	 * incarnations above each other for ever, and their peers reach now one, now the
	 * other. A record that an earlier process left behind has an incarnation of its
	 * own; only a live process can have answered this one's incarnation, with the
	 * same or the next higher one.
	 */
	function noteTwin({agentAddress, incarnation}: HostRecord, now: Milliseconds) {
		const current = self();
		const isAnswer = incarnation === current.incarnation || incarnation === current.incarnation + 1;
		if (isAnswer && agentAddress !== current.agentAddress) {
			twin = {address: agentAddress, heardAt: now};
		}
	}

	return {
		self,
		revise,
		refute(rumour, now) {
			noteEntry(rumour);
			const current = self();
			const isFinal = rumour.life === 'dead' || rumour.life === 'left';
			if (!isFinal) {
				noteTwin(rumour, now);
			}

			const isOlder = rumour.incarnation < current.incarnation;
			const isOwn = rumour.incarnation === current.incarnation && rumour.revision <= current.revision && rumour.life === 'alive';
			if (isOlder || isOwn || current.life === 'left') {
				return false;
			}

			if (rumour.incarnation > current.incarnation || isFinal) {
				// An earlier process of this host had a clock that was ahead, or this process
				// was declared dead. Only a higher incarnation overrides either.
				revise({incarnation: rumour.incarnation + 1, revision: 0}, now);
				return true;
			}

			if (rumour.revision >= current.revision) {
				revise({revision: rumour.revision + 1}, now);
				return true;
			}

			return false;
		},
		entrySeen: () => entrySeen,
		twin: (now, timeoutMs) => twin && now - twin.heardAt < timeoutMs ? twin.address : undefined,
	};
}
