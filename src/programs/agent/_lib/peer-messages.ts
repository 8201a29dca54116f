/**
 * Events and calls between agents, and their validation, so that a peer of
 * another version can't put malformed values into this agent's tables.
 *
 * Messages carry no version number. An agent ignores unknown events and unknown
 * fields and tolerates missing optional fields, so both may be added. Packed
 * bytes in a field begin with a format byte. A change that old agents would
 * misread needs a new name or, for all messages at once, a new `protocolVersion`
 * of the frames.
 */
import {isRecord} from '../../../_lib/is-record/index.js';
import {type HostRecord, type MemberMessage} from '../../../domain/create-membership/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';

export const peerEvents = {
	/** A membership message, with the versions that its sender holds. */
	member: 'member',
	/** The sender has put a newer document in force. */
	versions: 'versions',
	loads: 'loads',
	/** Servers that the sender has learned to be leaving. */
	leaving: 'leaving',
	/** Summaries of all zones that the sender knows, distributed within its own zone. */
	summaries: 'summaries',
} as const;

export const peerCalls = {
	/** Manifest of a document or, with `parts` (digests), manifests of parts of the document in force. */
	manifest: 'manifest',
	chunks: 'chunks',
	reports: 'reports',
	/** Versions that the peer holds, with its host id. */
	versions: 'versions',
} as const;

/** A version with the first quarter of its digest, which is enough to tell two documents apart and fits into a heartbeat. */
export type ShortVersion = {
	edition: number;
	revision: number;
	digest: string;
};

export type KnownVersions = {
	config: ShortVersion | undefined;
	fleet: ShortVersion | undefined;
	/** Age of the platform's last confirmation; `undefined` while the sender does not vouch for its version. */
	confirmedAgeMs: Milliseconds | undefined;
};

/** Reply to a call for the versions that a peer holds. */
export type HostVersions = KnownVersions & {host: HostId};

export type MemberEvent = {
	message: MemberMessage;
	/** Sent with messages that begin an exchange; replies omit it. */
	versions?: KnownVersions;
	/** Packed summary of the sender's zone, piggybacked on pings to other zones in a large fleet. */
	summaries?: Uint8Array;
};

/** A round in which a contact of a zone sends the summaries of all zones to its own zone. Each receiver sends the summaries that it knows itself to its children in the round's tree. */
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

/** Whether a value is a valid {@link KnownVersions}. */
export function isKnownVersions(value: unknown): value is KnownVersions {
	return isRecord(value)
		&& isVersion(value.config)
		&& isVersion(value.fleet)
		&& (value.confirmedAgeMs === undefined || isCount(value.confirmedAgeMs));
}

/** Whether a value is a valid {@link HostVersions}. */
export function isHostVersions(value: unknown): value is HostVersions {
	return isRecord(value) && isName(value.host) && isKnownVersions(value);
}

/** Whether a value is a valid membership event with all required fields. */
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

/** Whether a value is a valid summaries event. */
export function isSummariesEvent(value: unknown): value is SummariesEvent {
	return isRecord(value) && isName(value.root) && isCount(value.round) && value.bytes instanceof Uint8Array;
}
