/** Memberships on a logical clock, joined by links that can be cut, slowed and paused. For tests and benches. */
import {type HostId} from '../../../ports/ids.js';
import {type HostLife} from '../../../ports/view.js';
import {
	createMembership, type Membership, type MemberMessage, type OutMessage,
} from '../index.js';

const tickMs = 100;

export type Link = {from: HostId; to: HostId; at: number};

export type NetworkOptions = {
	zones: Readonly<Record<string, number>>;
	random: () => number;
	/** Whether the link delivers a message. */
	passes?: (link: Link) => boolean;
	delayMs?: number;
	/** Called with every message that is sent, for counting. */
	onMessage?: (from: HostId, message: MemberMessage, to: HostId) => void;
};

type Node = {
	id: HostId;
	zone: string;
	membership: Membership;
	isUp: boolean;
	pausedUntil: number;
	/** Messages that wait in the sockets of a paused process. */
	inbox: Array<{from: HostId; message: MemberMessage}>;
	offset: number;
};

export function createNetwork({zones, random, passes = () => true, delayMs = 1, onMessage}: NetworkOptions) {
	const nodes = new Map<HostId, Node>();
	let queue: Array<{at: number; from: HostId; to: HostId; message: MemberMessage}> = [];
	let at = 0;
	const log: Array<{at: number; by: HostId; id: HostId; life: HostLife}> = [];

	const names = Object.entries(zones).flatMap(([zone, count]) => Array.from({length: count}, (_, i) => ({id: `${zone}-${i + 1}`, zone})));
	const seeds = names.slice(0, 3).map(({id}) => id);

	function create(id: HostId, zone: string, incarnation: number): Membership {
		return createMembership({
			id, zone, incarnation, agentAddress: id, seeds, startedAt: at,
		});
	}

	function start(id: HostId, zone: string, incarnation = 1000 + at) {
		nodes.set(id, {
			id, zone, membership: create(id, zone, incarnation), isUp: true, pausedUntil: 0, inbox: [], offset: Math.floor(random() * tickMs),
		});
	}

	for (const {id, zone} of names) {
		start(id, zone);
	}

	function send(from: HostId, messages: readonly OutMessage[]) {
		for (const {to, address, message} of messages) {
			onMessage?.(from, message, to ?? address);
			queue.push({
				at: at + delayMs, from, to: to ?? address, message: structuredClone(message),
			});
		}
	}

	function take(node: Node, from: HostId, message: MemberMessage) {
		send(node.id, node.membership.receive(message, from, at));
	}

	function deliver() {
		const due = queue.filter(message => message.at <= at);
		queue = queue.filter(message => message.at > at);
		for (const {from, to, message} of due) {
			const node = nodes.get(to);
			if (!node?.isUp || !passes({from, to, at})) {
				continue;
			}

			if (node.pausedUntil > at) {
				node.inbox.push({from, message});
			} else {
				take(node, from, message);
			}
		}
	}

	function tick(node: Node) {
		const {messages} = node.membership.tick(at, random);
		send(node.id, messages);
		for (const {from, message} of node.inbox.splice(0)) {
			take(node, from, message);
		}
	}

	return {
		nodes,
		ids: names.map(({id}) => id),
		log,
		now: () => at,
		run(ms: number, each?: () => void) {
			const end = at + ms;
			while (at < end) {
				at += 10;
				deliver();
				for (const node of nodes.values()) {
					if (node.isUp && node.pausedUntil <= at && (at + node.offset) % tickMs < 10) {
						tick(node);
					}
				}

				each?.();
			}
		},
		kill(id: HostId) {
			nodes.get(id)!.isUp = false;
		},
		pause(id: HostId, ms: number) {
			nodes.get(id)!.pausedUntil = at + ms;
		},
		restart(id: HostId, incarnation?: number) {
			start(id, nodes.get(id)!.zone, incarnation);
		},
		leave(id: HostId) {
			const node = nodes.get(id)!;
			send(id, node.membership.leave(at));
			node.isUp = false;
		},
		/** Status of the second host as the first one sees it. */
		life: (by: HostId, id: HostId): HostLife | undefined => nodes.get(by)!.membership.hosts(at).get(id)?.life,
		/** Hosts that are up and do not see the given host in the given status. */
		others(id: HostId, life: HostLife): HostId[] {
			return [...nodes.values()]
				.filter(node => node.isUp && node.id !== id && node.membership.hosts(at).get(id)?.life !== life)
				.map(node => node.id);
		},
		/** Pairs of live hosts in which the first does not see the second alive. */
		unseen(): string[] {
			const up = [...nodes.values()].filter(({isUp}) => isUp);
			return up.flatMap(by => up
				.map(({id}) => ({id, life: by.membership.hosts(at).get(id)?.life}))
				.filter(({life}) => life !== 'alive')
				.map(({id, life}) => `${by.id} sees ${id} ${life ?? 'not at all'}`));
		},
	};
}

export type Network = ReturnType<typeof createNetwork>;
