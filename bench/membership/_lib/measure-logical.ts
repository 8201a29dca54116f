/** Membership alone on a logical clock: bytes and detection times at sizes that do not fit one machine. */
import {performance} from 'node:perf_hooks';
import {encodeFrame} from '../../../src/adapters/peer-tcp/_lib/frame.js';
import {createNetwork} from '../../../src/domain/create-membership/_test/create-network.js';
import {type MemberMessage} from '../../../src/domain/create-membership/index.js';
import {type KnownVersions} from '../../../src/programs/agent/_lib/peer-messages.js';
import {createRandom} from '../../_lib/create-random.js';

/** IPv4 and TCP headers with time stamps; an acknowledgement of its own costs the same again. */
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
	/** Sent by one host a second, headers and acknowledgements included: mean over the hosts, and the busiest. */
	meanBytesPerSecond: number;
	maxBytesPerSecond: number;
	messagesPerSecond: number;
	/** From the kill until the last host knows. */
	suspectedAfterMs: number;
	deadAfterMs: number;
	/** Live hosts that were seen otherwise while nothing failed. */
	falseSuspicions: number;
	/** Processor time of one host for one second, the simulated network included. */
	cpuMsPerSecond: number;
};

function toBytes(message: MemberMessage): number {
	const body = message.kind === 'ping' || message.kind === 'zones' ? {message, versions} : {message};
	return encodeFrame({type: 'event', name: 'member', body}).map(frame => frame.length).unwrapOr(0);
}

/**
 * Measures one size.
 *
 * @param zones - Hosts of each zone.
 * @returns The row.
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
				// The receiver acknowledges; its acknowledgement is counted where the message is.
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
