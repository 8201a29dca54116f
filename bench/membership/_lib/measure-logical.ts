/** Measures membership on a logical clock: bytes sent and detection times for fleets too large for one machine. */
import {performance} from 'node:perf_hooks';
import {encodeFrame} from '../../../src/adapters/peer-tcp/_lib/frame.js';
import {createNetwork} from '../../../src/domain/create-membership/_test/create-network.js';
import {type MemberMessage} from '../../../src/domain/create-membership/index.js';
import {type KnownVersions} from '../../../src/programs/agent/_lib/peer-messages.js';
import {createRandom} from '../../_lib/create-random.js';

/** IPv4 and TCP headers with time stamps; a separate acknowledgement has the same size. */
const headerBytes = 52;
const settleMs = 60_000;
const measureMs = 20_000;
const deathLimitMs = 30_000;

const versions: KnownVersions = {
	config: {edition: 12, revision: 3456, digest: '0123456789abcdef'}, fleet: {edition: 0, revision: 7890, digest: '0123456789abcdef'}, confirmedAgeMs: 1234,
};

export type LogicalRow = {
	hosts: number;
	zones: number;
	/** Bytes sent per host and second, with headers and acknowledgements: mean and maximum over the hosts. */
	meanBytesPerSecond: number;
	maxBytesPerSecond: number;
	messagesPerSecond: number;
	/** Time from the kill until all hosts suspect the killed host, and until all have declared it dead. */
	suspectedAfterMs: number;
	deadAfterMs: number;
	/** Live hosts that other hosts did not see as alive although nothing had failed. */
	falseSuspicions: number;
	/** Time to compute one second of one host, simulated network included. */
	cpuMsPerSecond: number;
};

function toBytes(message: MemberMessage): number {
	const body = message.kind === 'ping' || message.kind === 'zones' ? {message, versions} : {message};
	return encodeFrame({type: 'event', name: 'member', body}).map(frame => frame.length).unwrapOr(0);
}

/**
 * Measures a fleet of one size.
 *
 * @param zones - Number of hosts by zone.
 * @returns Row for this size.
 */
export function measureLogical(zones: Readonly<Record<string, number>>): LogicalRow {
	const sent = new Map<string, number>();
	let messages = 0;
	let isCounting = false;
	const network = createNetwork({
		zones,
		random: createRandom(42),
		onMessage(from, message) {
			if (isCounting) {
				messages += 1;
				sent.set(from, (sent.get(from) ?? 0) + toBytes(message) + headerBytes);
				// The receiver's acknowledgement is counted for the sender.
				sent.set(from, sent.get(from)! + headerBytes);
			}
		},
	});
	network.run(settleMs);
	const hosts = network.ids.length;
	isCounting = true;
	let falseSuspicions = 0;
	const startedAt = performance.now();
	network.run(measureMs);
	const cpuMs = performance.now() - startedAt;
	isCounting = false;
	falseSuspicions += network.unseen().length;

	const victim = network.ids.at(-1)!;
	network.kill(victim);
	const killedAt = network.now();
	const waitFor = (lives: readonly string[]) => {
		while (network.now() - killedAt < deathLimitMs && [...network.nodes.values()].some(node => node.isUp && !lives.includes(network.life(node.id, victim)!))) {
			network.run(100);
		}

		return network.now() - killedAt;
	};

	const suspectedAfterMs = waitFor(['suspect', 'dead']);
	const deadAfterMs = waitFor(['dead']);
	const seconds = measureMs / 1000;
	const bytes = network.ids.map(id => (sent.get(id) ?? 0) / seconds);
	return {
		hosts,
		zones: Object.keys(zones).length,
		meanBytesPerSecond: Math.round(bytes.reduce((sum, one) => sum + one, 0) / hosts),
		maxBytesPerSecond: Math.round(Math.max(...bytes)),
		messagesPerSecond: Math.round(messages / seconds / hosts * 10) / 10,
		suspectedAfterMs,
		deadAfterMs,
		falseSuspicions,
		cpuMsPerSecond: Math.round(cpuMs / seconds / hosts * 1000) / 1000,
	};
}
