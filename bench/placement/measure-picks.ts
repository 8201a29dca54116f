/** Measures the time of one pick by size of the zone, in the usual case and when all servers are full, which takes the widest search. */
import {performance} from 'node:perf_hooks';
import {createPlacement} from '../../src/domain/create-placement/index.js';
import {
	toConfig, toPlacementRequest, toSeededRandom, toServer, toStatus, toView,
} from '../../src/domain/create-placement/_lib/fixtures.js';
import {toHost, toRouterName} from './_lib/create-fleet.js';

export type PickTiming = {
	servers: number;
	state: 'half used' | 'all full' | 'with account';
	picks: number;
	meanMicroseconds: number;
	p99Microseconds: number;
};

const microsecondsPerMillisecond = 1000;

/** Time between arrivals at one host at the target size of the fleet: 15.5 requests a second. */
const arrivalEveryMs = 1000 / 15.5;
const reportEveryMs = 1000;

/** Hosts of a zone at the target size. */
const zoneHosts = 33;

/** Measures each pick together with its dispatch and end, after as many warm-up picks. */
export const measurePicks = (serverCount: number, state: PickTiming['state'], picks: number): PickTiming => {
	const entries = Array.from({length: serverCount}, (_, i) => toServer(`s${i}`, i % 3 === 0 ? 'prefill' : 'decode'));
	const config = toConfig(entries);
	const hosts = Array.from({length: zoneHosts}, (_, i) => toHost(i));
	const toFleet = (at: number) => toView(config, entries.map(entry => toStatus(entry, at, {slotsUsed: state === 'all full' ? 20 : 10})), hosts);
	let view = toFleet(0);
	const placement = createPlacement({zone: 'a', host: toRouterName(0)});
	const random = toSeededRandom(7);
	const request = toPlacementRequest({prefixBlocks: Array.from({length: 64}, (_, i) => `b${i}`)});
	const tookMs: number[] = [];
	let reportedAt = 0;
	for (let i = 0; i < picks * 2; i++) {
		const now = i * arrivalEveryMs;
		if (now - reportedAt >= reportEveryMs) {
			reportedAt = now;
			view = toFleet(now);
		}

		const startedAt = performance.now();
		const picked = placement.pick(request, view, now, random);
		if (state === 'with account' && picked.isOk()) {
			picked.value.account();
		}

		if (picked.isOk()) {
			placement.noteDispatched(picked.value, now);
			placement.noteFinished(picked.value, now);
		}

		if (i >= picks) {
			tookMs.push(performance.now() - startedAt);
		}
	}

	const sorted = tookMs.toSorted((a, b) => a - b);
	const sum = tookMs.reduce((total, ms) => total + ms, 0);
	return {
		servers: serverCount,
		state,
		picks,
		meanMicroseconds: sum / picks * microsecondsPerMillisecond,
		p99Microseconds: (sorted[Math.floor(picks * 0.99)] ?? 0) * microsecondsPerMillisecond,
	};
};
