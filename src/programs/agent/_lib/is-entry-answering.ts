import {connectPeer, type PeerHello, type PeerKeys} from '../../../adapters/peer-tcp/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Owner} from '../../../ports/ids.js';

/**
 * Checks whether an entry still answers at its peer port under the same incarnation.
 *
 * @param owner - Host and incarnation of the entry.
 * @param address - `IP:port` of its peer port.
 * @param options - How to connect, and the timeout in milliseconds.
 * @returns `false` also when another process answers at the address.
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
