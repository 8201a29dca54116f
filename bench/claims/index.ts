/** Compares designs for at-most-once execution by the share of requests that they refuse, and measures the cost of a claim. */
import process from 'node:process';
import {pickWitnesses} from '../../src/domain/pick-witnesses/index.js';
import {type Random} from '../../src/ports/clock.js';
import {
	cases, type Design, type Fleet, measureRefusals, pickOwner, pickThree,
} from './measure-availability.js';
import {
	measureLatency, measureMessage, measurePicks, measureTable,
} from './measure-cost.js';

const defaultSeed = 20_261_202;

const fleets: readonly Fleet[] = [
	{name: '8 hosts, 4 zones', zones: 4, perZone: 2},
	{name: '9 hosts, 3 zones', zones: 3, perZone: 3},
	{name: '400 hosts, 12 zones', zones: 12, perZone: 33},
];

const designs: readonly Design[] = [
	{name: 'owner', pick: pickOwner},
	{name: '2 of 3', pick: pickThree},
	{name: 'masks 1', pick: (key, hosts) => pickWitnesses(key, hosts, {maskedSlots: 1})},
	{name: 'masks 2', pick: (key, hosts) => pickWitnesses(key, hosts, {maskedSlots: 2})},
];

/** Creates a seeded random number generator (Lehmer), so that a seed always gives the same figures. */
function createRandom(seed: number): Random {
	const modulus = 2_147_483_647;
	let state = (seed % (modulus - 1)) + 1;
	return () => {
		state = (state * 48_271) % modulus;
		return state / modulus;
	};
}

function printRow(first: string, cells: readonly string[]) {
	console.log(first.padEnd(44) + cells.map(cell => cell.padStart(16)).join(''));
}

async function printAvailability(seed: number) {
	console.log(`share of fresh keys refused, 1,000 keys each, seed ${seed}`);
	for (const fleet of fleets) {
		printRow(fleet.name, designs.map(design => design.name));
		const hosts = Array.from({length: fleet.zones * fleet.perZone}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % fleet.zones}`}));
		const sets = designs.map(design => design.pick('key', hosts));
		printRow('quorum', sets.map(set => `${set.quorum} of ${set.slots.length}`));
		printRow('stale duplicates of hosts that break it', sets.map(set => String((2 * set.quorum) - set.slots.length)));
		for (const one of cases) {
			const shares: string[] = [];
			for (const design of designs) {
				const share = await measureRefusals(fleet, design, one, createRandom(seed));
				shares.push(`${(share * 100).toFixed(1)}%`);
			}

			printRow(one.name, shares);
		}

		console.log('');
	}
}

/** Runs the bench and prints its tables. The environment variable `CLAIMS_SEED` sets the seed. */
export async function runClaimsBench(): Promise<void> {
	const seed = Number(process.env.CLAIMS_SEED ?? defaultSeed);
	await printAvailability(seed);
	for (const {hosts, us} of measurePicks()) {
		console.log(`picking witnesses among ${hosts} hosts: ${us.toFixed(1)} us`);
	}

	for (const {claims, us, bytes} of measureTable()) {
		console.log(`witness with ${claims} claims: ${us.toFixed(1)} us per claim, ${globalThis.gc === undefined ? 'about ' : ''}${bytes.toFixed(0)} bytes of heap each`);
	}

	const {ask, answer} = measureMessage();
	console.log(`claim request ${ask} bytes, reply ${answer} bytes, per witness`);
	for (const atOnce of [1, 16, 64]) {
		const {p50, p99, perSecond} = await measureLatency(atOnce, 2000);
		console.log(`${atOnce} concurrent claims over loopback, 8 hosts in one process: p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms, ${perSecond.toFixed(0)} claims/s`);
	}
}
