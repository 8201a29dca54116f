/** Converged networks of memberships, and the statuses that their hosts see of one another. */
import assert from 'node:assert/strict';
import {createNetwork, type Link, type Network} from './create-network.js';

/** A small seeded generator (Lehmer's). */
function createRandom(seed: number) {
	let state = (Math.abs(seed) % 2_147_483_646) + 1;
	return () => {
		state = (state * 16_807) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Number of hosts in each zone. */
export const twoZones = {a: 2, b: 2};
export const threeZones = {a: 4, b: 3, c: 3};

/** Runs a network until all hosts know each other. */
export function createConverged(zones: Readonly<Record<string, number>>, passes?: (link: Link) => boolean, seed = 7): Network {
	const network = createNetwork({zones, passes, random: createRandom(seed)});
	network.run(8000);
	// Gossip may miss a record: with one seed of 400 the comparison of tables finds the last one, after 9 s.
	while (network.unseen().length > 0 && network.now() < 20_000) {
		network.run(500);
	}

	assert.deepEqual(network.unseen(), []);
	return network;
}

/** Returns the zone in the id of a host. */
export function zoneOf(id: string): string {
	return id.split('-')[0]!;
}

/** Runs the network and returns every status but `alive` that a running host has seen meanwhile, as `host status`. */
export function collectNotAlive(network: Network, ms: number): Set<string> {
	const seen = new Set<string>();
	network.run(ms, () => {
		if (network.now() % 100 === 0) {
			for (const {membership, isUp, pausedUntil} of network.nodes.values()) {
				const isWatched = isUp && pausedUntil <= network.now();
				for (const [id, {life}] of isWatched ? membership.hosts(network.now()) : []) {
					if (life !== 'alive') {
						seen.add(`${id} ${life}`);
					}
				}
			}
		}
	});
	return seen;
}
