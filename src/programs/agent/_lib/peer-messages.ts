/**
 * Events and calls between agents, and their checks: a peer of another version
 * must not poison the tables.
 *
 * Messages carry no number of a version. An agent leaves alone an event that it
 * does not know and a field that it does not know, and does without a field that
 * it misses, so new ones may be added; what they hold in packed bytes begins
 * with a byte for its format. A change that old agents would misread needs a new
 * name, or, for all at once, a new `protocolVersion` of the frames.
 */
import {isRecord} from '../../../_lib/is-record/index.js';
import {type HostRecord, type MemberMessage} from '../../../domain/create-membership/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';

export const peerEvents = {
	/** A message of membership, with what its sender knows. */
	member: 'member',
	/** The sender has taken a newer document. */
	versions: 'versions',
	loads: 'loads',
	/** Servers that the sender has learnt to be leaving. */
	leaving: 'leaving',
	/** Summaries of all zones that the sender knows, on their way through its own zone. */
	summaries: 'summaries',
} as const;

export const peerCalls = {
	/** Of a document, or with `parts` (digests) of parts of the one in force. */
	manifest: 'manifest',
	chunks: 'chunks',
	reports: 'reports',
} as const;

/** A version with the first half of its digest's first half: enough to tell two documents apart in a heartbeat. */
export type ShortVersion = {
	edition: number;
	revision: number;
	digest: string;
};

export type KnownVersions = {
	config: ShortVersion | undefined;
	fleet: ShortVersion | undefined;
	/** Age of the platform's last confirmation. */
	confirmedAgeMs: Milliseconds | undefined;
};

export type MemberEvent = {
	message: MemberMessage;
	/** With what begins an exchange; an answer leaves it out. */
	versions?: KnownVersions;
	/** With a ping to another zone, in a large fleet: the packed summary of the sender's zone. */
	summaries?: Uint8Array;
};

/** A round in which a zone's contact tells its zone of all zones; who hears it passes what it knows itself on to its children in the round's tree. */
export type SummariesEvent = {
	root: HostId;
	round: number;
	bytes: Uint8Array;
};

const lives = new Set<unknown>(['alive', 'suspect', 'dead', 'left']);
const kinds = new Set<unknown>(['ping', 'ack', 'ping-request', 'ping-reply', 'news', 'zones', 'stamps', 'records']);
const maxName = 200;

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxName;
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

function isHostRecord(value: unknown): value is HostRecord {
	return isRecord(value)
		&& isName(value.id) && isName(value.zone) && isName(value.agentAddress) && isName(value.entryAddress)
		&& isCount(value.incarnation) && isCount(value.revision) && isCount(value.entryIncarnation) && isCount(value.entryGone)
		&& lives.has(value.life)
		&& typeof value.leaving === 'boolean'
		&& Array.isArray(value.witnesses) && value.witnesses.every(witness => isName(witness));
}

function isNumbers(value: unknown): boolean {
	return isRecord(value) && Object.values(value).every(number => typeof number === 'number');
}

function hasBody(message: Record<string, unknown>): boolean {
	switch (message.kind) {
		case 'zones': {
			return isNumbers(message.zones);
		}

		case 'stamps': {
			return isNumbers(message.stamps);
		}

		case 'records': {
			return Array.isArray(message.wanted) && message.wanted.every(id => isName(id));
		}

		case 'news': {
			return true;
		}

		default: {
			return isCount(message.seq) && (message.target === undefined || isName(message.target));
		}
	}
}

function isVersion(value: unknown): value is ShortVersion | undefined {
	return value === undefined || (isRecord(value) && isCount(value.edition) && isCount(value.revision) && isName(value.digest));
}

/** Whether a value says what its sender knows. */
export function isKnownVersions(value: unknown): value is KnownVersions {
	return isRecord(value)
		&& isVersion(value.config)
		&& isVersion(value.fleet)
		&& (value.confirmedAgeMs === undefined || isCount(value.confirmedAgeMs));
}

/** Whether a value is a message of membership with all its fields. */
export function isMemberEvent(value: unknown): value is MemberEvent {
	if (!isRecord(value) || !isRecord(value.message) || (value.versions !== undefined && !isKnownVersions(value.versions))) {
		return false;
	}

	const {message} = value;
	return kinds.has(message.kind)
		&& typeof message.digest === 'number'
		&& Array.isArray(message.updates) && message.updates.every(update => isHostRecord(update))
		&& (message.contacts === undefined || isNumbers(message.contacts))
		&& hasBody(message);
}

/** Whether a value is a round's message with all its fields. */
export function isSummariesEvent(value: unknown): value is SummariesEvent {
	return isRecord(value) && isName(value.root) && isCount(value.round) && value.bytes instanceof Uint8Array;
}
