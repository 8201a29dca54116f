/**
 * Stand-in for a network link whose partition holds bytes up: what is sent meanwhile
 * is delivered when the link heals, also if its sender has closed the connection in
 * order. A reset of the connection discards what is held up.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {resetSocket} from '../../_lib/reset-socket/index.js';

export type HoldingLink = {
	/** `IP:port` of this end. */
	address: string;
	/** Holds up the bytes of both directions from now on. */
	hold: () => void;
	/** Delivers what is held up, in order, and from now on bytes as they come. */
	heal: () => void;
	stop: () => Promise<void>;
};

type Delivery = () => void;

/**
 * Starts a link on loopback.
 *
 * @param target - `IP:port` to which connections are relayed.
 * @returns The link, which holds nothing up.
 */
export async function startHoldingLink(target: string): Promise<HoldingLink> {
	const [host, port] = target.split(':') as [string, string];
	const sockets = new Set<Socket>();
	/** Deliveries that are held up, by the socket whose bytes they are. */
	const held = new Map<Socket, Delivery[]>();
	let isHolding = false;

	function deliver(from: Socket, delivery: Delivery): void {
		if (isHolding) {
			held.set(from, [...held.get(from) ?? [], delivery]);
		} else {
			delivery();
		}
	}

	function relay(from: Socket, to: Socket): void {
		sockets.add(from);
		from.on('data', bytes => {
			deliver(from, () => to.write(bytes));
		});
		from.on('end', () => {
			deliver(from, () => to.end());
		});
		from.on('error', () => {
			held.delete(from);
			deliver(from, () => {
				resetSocket(to);
			});
		});
		from.on('close', () => {
			sockets.delete(from);
		});
	}

	const server = createServer({allowHalfOpen: true}, near => {
		const far = connect({host, port: Number(port), allowHalfOpen: true});
		near.setNoDelay(true);
		far.setNoDelay(true);
		relay(near, far);
		relay(far, near);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		hold() {
			isHolding = true;
		},
		heal() {
			isHolding = false;
			const deliveries = [...held.values()].flat();
			held.clear();
			for (const delivery of deliveries) {
				delivery();
			}
		},
		async stop() {
			server.close();
			for (const socket of sockets) {
				resetSocket(socket);
			}

			await once(server, 'close');
		},
	};
}
