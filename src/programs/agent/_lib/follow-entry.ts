/**
 * Tracks the entry of the agent's own host: whether an entry is connected, its
 * incarnation, and the highest incarnation that is known to have ended.
 */
import {type PeerConnection, type PeerHello, type PeerKeys} from '../../../adapters/peer-tcp/index.js';
import {type FeedPing} from '../../../adapters/view-feed/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type OwnStatement} from '../../../domain/create-membership/index.js';
import {type Incarnation} from '../../../ports/ids.js';
import {isEntryAnswering} from './is-entry-answering.js';

/** Time for which a restarted agent waits for an entry that may still run to connect. */
const startGraceMs = 3000;
const probeTimeoutMs = 500;
const probeGapMs = 250;

export type FollowEntryOptions = {
	hello: () => PeerHello;
	tls: (() => PeerKeys) | undefined;
	/** Publishes a change of this host's record to the fleet. */
	publishState: (statement: OwnStatement) => void;
	/** The entry that peers knew before this agent started; incarnation 0 if they knew none. */
	previousEntry: () => {incarnation: Incarnation; address: string};
	onEnded: (incarnation: Incarnation) => void;
	signal: AbortSignal;
};

export type EntryFollower = {
	/** Adds a new connection of the entry. */
	add: (connection: PeerConnection) => void;
	/** Handles a ping of the entry, which states its peer address, its present incarnation, and whether it drains. */
	notePing: (connection: PeerConnection, ping: FeedPing) => void;
	/** The connection to the entry; `undefined` when there is none. */
	connection: () => PeerConnection | undefined;
	/** Lowest incarnation that the entry may use, above all entries that ended before; 0 when its own is high enough. */
	incarnationFloor: () => Incarnation;
};

type Current = {
	connection: PeerConnection;
	incarnation: Incarnation;
	address: string;
};

/**
 * Starts tracking this host's entry.
 *
 * @param options - See {@link FollowEntryOptions}.
 * @returns See {@link EntryFollower}.
 */
export function followEntry({hello, tls, publishState, previousEntry, onEnded, signal}: FollowEntryOptions): EntryFollower {
	let current: Current | undefined;
	let endedIncarnation: Incarnation = 0;

	const isAnswering = async (address: string, incarnation: Incarnation) => isEntryAnswering({host: hello().host, incarnation}, address, {
		hello, tls, connectTimeoutMs: probeTimeoutMs,
	});

	function noteEnded(incarnation: Incarnation) {
		if (incarnation > endedIncarnation) {
			endedIncarnation = incarnation;
			publishState({entryGone: endedIncarnation});
			onEnded(endedIncarnation);
		}
	}

	/** Probes an entry whose connection has ended until the entry no longer answers: the entry may have died, or only its connection may have broken. */
	async function probeUntilEnded(incarnation: Incarnation, address: string) {
		await waitFor(probeGapMs, signal);
		while (!signal.aborted && endedIncarnation < incarnation && current?.incarnation !== incarnation) {
			if (address === '' || !await isAnswering(address, incarnation)) {
				noteEnded(incarnation);
				return;
			}

			await waitFor(probeGapMs, signal);
		}
	}

	async function probePreviousEntry() {
		await waitFor(startGraceMs, signal);
		const {incarnation, address} = previousEntry();
		if (incarnation > 0 && current?.incarnation !== incarnation) {
			await probeUntilEnded(incarnation, address);
		}
	}

	async function serve(connected: Current) {
		current = connected;
		publishState({entryIncarnation: connected.incarnation});
		await connected.connection.closed;
		if (current === connected) {
			current = undefined;
		}

		await probeUntilEnded(connected.incarnation, connected.address);
	}

	void probePreviousEntry();

	return {
		add(connection) {
			const {incarnation} = connection.peer;
			// A late connection of an older process must not replace the newer one's.
			if ((current?.incarnation ?? 0) <= incarnation) {
				void serve({connection, incarnation, address: ''});
			}
		},
		notePing(connection, {incarnation, entryAddress, stopping}) {
			if (current?.connection !== connection) {
				return;
			}

			current.address = entryAddress;
			current.incarnation = Math.max(current.incarnation, incarnation);
			// After a draining entry has ended, the host stays marked as leaving until the next entry clears the mark: nobody serves on it.
			publishState({entryAddress, entryIncarnation: current.incarnation, leaving: stopping === true});
			// An entry whose incarnation is above that of the previous entry supersedes all entries before it.
			if (current.incarnation > previousEntry().incarnation) {
				noteEnded(current.incarnation - 1);
			}
		},
		connection: () => current?.connection,
		incarnationFloor() {
			const before = Math.max(endedIncarnation, previousEntry().incarnation);
			return before === current?.incarnation ? 0 : before + 1;
		},
	};
}
