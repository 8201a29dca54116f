/**
 * What the agent knows of its own host's entry: whether it is there, as which
 * incarnation, and up to which incarnation earlier ones have ended.
 */
import {type PeerConnection, type PeerHello, type PeerKeys} from '../../../adapters/peer-tcp/index.js';
import {type FeedPing} from '../../../adapters/view-feed/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type OwnStatement} from '../../../domain/create-membership/index.js';
import {type Incarnation} from '../../../ports/ids.js';
import {isEntryAnswering} from './is-entry-answering.js';

/** Time in which a restarted agent waits for an entry that may be alive. */
const startGraceMs = 3000;
const probeTimeoutMs = 500;
const probeGapMs = 250;

export type FollowEntryOptions = {
	hello: () => PeerHello;
	tls: (() => PeerKeys) | undefined;
	/** Tells the fleet. */
	publishState: (statement: OwnStatement) => void;
	/** What peers remember of an entry before this agent started. */
	previousEntry: () => {incarnation: Incarnation; address: string};
	onEnded: (incarnation: Incarnation) => void;
	signal: AbortSignal;
};

export type EntryFollower = {
	/** The entry has connected. */
	add: (connection: PeerConnection) => void;
	/** The entry says where it takes calls of peers, its present incarnation, and whether it drains. */
	notePing: (connection: PeerConnection, ping: FeedPing) => void;
	/** The connection to the entry, while there is one. */
	connection: () => PeerConnection | undefined;
	/** Least incarnation that the entry may use, above all that ended before it; 0 when its own will do. */
	incarnationFloor: () => Incarnation;
};

type Current = {
	connection: PeerConnection;
	incarnation: Incarnation;
	address: string;
};

/**
 * Starts following.
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

	/** Its feed has ended: it has died, or only its connection has. */
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
			// A connection of an older process that ends late must not take the newer one's place.
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
			// Until the next entry says otherwise, the host stays a leaving one: nobody serves on it.
			publishState({entryAddress, entryIncarnation: current.incarnation, leaving: stopping === true});
			// A newer entry is in the place of all before it, once it has heard how high it must be.
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
