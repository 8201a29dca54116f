import {connectPeer, type PeerHello, type PeerKeys} from '../../../adapters/peer-tcp/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Owner} from '../../../ports/ids.js';

/**
 * Asks whether an entry still answers at its peer port as the process that it was.
 *
 * @param owner - Host and incarnation of the entry.
 * @param address - `IP:port` of its peer port.
 * @param options - How to connect, and for how long to try, milliseconds.
 * @returns `false` also when somebody else answers there.
 */
export async function isEntryAnswering(owner: Owner, address: string, options: {
	hello: () => PeerHello;
	tls: (() => PeerKeys) | undefined;
	connectTimeoutMs: Milliseconds;
}): Promise<boolean> {
	const connected = await connectPeer({address, ...options});
	if (connected.isErr()) {
		return false;
	}

	connected.value.close();
	const {host, incarnation} = connected.value.peer;
	return host === owner.host && incarnation === owner.incarnation;
}
