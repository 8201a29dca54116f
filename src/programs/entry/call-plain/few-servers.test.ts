/*
 * Guards against lookups that are late although places are free: hundreds of hosts
 * share a few servers of a few places each, a zone has more callers than its one
 * server can serve in a burst, and each host knows its own requests alone.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type PlainPlacement} from '../../../domain/create-placement/index.js';
import {createServerPlaces, type ServerPlaces} from '../../../domain/create-server-places/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type Place, type Places} from '../../../ports/places.js';
import {msPerSecond} from '../../../ports/units.js';
import {pickWithPlace} from './_lib/pick-with-place.js';
import {type PlainRun} from './_lib/types.js';

const hostCount = 58;
const zones = ['a', 'b', 'c', 'd'];
const servers = ['a', 'b', 'b', 'c', 'd'].map((zone, i) => ({id: `s${i}`, zone, slots: 6}));
const messageMs: Milliseconds = 1;
const aimMs: Milliseconds = 342;
const workMs: Milliseconds = 71;
const requestsPerSecond = 182;
/** The second part of the time has this many times the usual requests, 95 % of what the servers can do. */
const burst = 2.2;
const lengthMs: Milliseconds = 8 * msPerSecond;
const burstMs: Milliseconds = 4 * msPerSecond;

type Agenda = {now: () => Milliseconds; after: (ms: Milliseconds, act: () => void) => void; run: () => Promise<void>};

function createAgenda(): Agenda {
	let now: Milliseconds = 0;
	const turns = new Map<Milliseconds, Array<() => void>>();
	const times: Milliseconds[] = [];
	return {
		now: () => now,
		after(ms, act) {
			const at = Math.ceil(now + ms);
			const acts = turns.get(at);
			if (acts !== undefined) {
				acts.push(act);
				return;
			}

			turns.set(at, [act]);
			const later = times.findIndex(time => time > at);
			times.splice(later === -1 ? times.length : later, 0, at);
		},
		async run() {
			for (let at = times.shift(); at !== undefined; at = times.shift()) {
				now = at;
				const acts = turns.get(at)!;
				for (const act of acts) {
					act();
				}

				turns.delete(at);
				await nextTurn();
			}
		},
	};
}

/** Creates servers that run as many requests as they have slots, and queue the others. */
function createServers(agenda: Agenda, random: Random) {
	const running = new Map(servers.map(({id}) => [id, 0]));
	const queues = new Map(servers.map(({id}) => [id, [] as Array<() => void>]));
	return async (id: string): Promise<void> => new Promise(resolve => {
		const start = (): void => {
			running.set(id, running.get(id)! + 1);
			agenda.after(workMs * (0.4 + (1.2 * random())), () => {
				running.set(id, running.get(id)! - 1);
				queues.get(id)!.shift()?.();
				resolve();
			});
		};

		if (running.get(id)! < servers[0]!.slots) {
			start();
		} else {
			queues.get(id)!.push(start);
		}
	});
}

/** Creates the counted places of all hosts. */
function createPlaces(agenda: Agenda): (host: string) => Places {
	const hosts = Array.from({length: hostCount}, (_, i) => `10.0.0.${i}:7380`);
	const byHost = new Map<string, ServerPlaces>();
	for (const self of hosts) {
		byHost.set(self, createServerPlaces({
			self,
			rankKeepers: key => pickRanked(key, hosts, 3),
			send(message, to) {
				agenda.after(messageMs, () => {
					byHost.get(to)!.receive(message, self, agenda.now());
				});
			},
		}));
	}

	return host => ({
		take: async (server, options) => new Promise<Place | undefined>(resolve => {
			byHost.get(host)!.take(server, options, agenda.now(), resolve);
		}),
	});
}

/** Plays the requests of one seed; returns the share that is late. */
async function play(seed: number, isCounted: boolean): Promise<number> {
	const agenda = createAgenda();
	const random = createRandom(seed);
	const pickRandom = createRandom(seed + 1000);
	const serve = createServers(agenda, createRandom(seed + 2000));
	const toPlaces = createPlaces(agenda);
	let asked = 0;
	let late = 0;

	/** Picks as the placement does where no load is known: in the own zone, else anywhere. */
	function pick(zone: string, exclude: ReadonlySet<string>) {
		const left = servers.filter(({id}) => !exclude.has(id));
		const near = left.filter(server => server.zone === zone);
		const list = near.length > 0 ? near : left;
		return ok({kind: 'plain', cooldown: 0, server: list[Math.floor(pickRandom() * list.length)]!} as unknown as PlainPlacement);
	}

	async function request(host: number): Promise<void> {
		const startedAt = agenda.now();
		const run = {tried: [], ctx: {places: isCounted ? toPlaces(`10.0.0.${host}:7380`) : undefined}} as unknown as PlainRun;
		const placed = await pickWithPlace(run, exclude => pick(zones[host % zones.length]!, exclude));
		const {picked, leave} = placed._unsafeUnwrap();
		await serve(picked.server.id);
		leave();
		asked++;
		late += agenda.now() - startedAt > aimMs ? 1 : 0;
	}

	let at = 0;
	while (at < lengthMs) {
		const rate = requestsPerSecond * (at >= burstMs ? burst : 1);
		at -= Math.log(1 - random()) * msPerSecond / rate;
		const host = Math.floor(random() * hostCount);
		agenda.after(at, () => {
			void request(host);
		});
	}

	await agenda.run();
	return late / asked;
}

describe('few servers before many hosts', () => {
	it('answer lookups in time in a burst when hosts count their places together', async t => {
		for (const seed of [1, 2, 3]) {
			const [alone, counted] = [await play(seed, false), await play(seed, true)];
			t.diagnostic(`seed ${seed}: ${(100 * alone).toFixed(1)} % late when each host knows its own requests, ${(100 * counted).toFixed(1)} % when they count together`);
			assert.ok(counted <= 0.01, `seed ${seed}: ${counted} late`);
			assert.ok(counted < alone / 2, `seed ${seed}: ${alone} late without counts`);
		}
	});
});
