/*
 * Guards against a request that goes on ending servers, and against harmless requests
 * that are refused because they ran beside it or near faults that end no server.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type RunEnd} from '../../../domain/judge-run-end/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerId} from '../../../ports/ids.js';
import {msPerSecond} from '../../../ports/units.js';
import {noteRunEnd} from '../../entry/_lib/quarantine.js';
import {type ServeContext} from '../../entry/_lib/serve-types.js';
import {createLostServers} from '../start-relay/_lib/create-lost-servers.js';
import {log, startHosts, type Host} from './_test/start-hosts.js';

type Fleet = Awaited<ReturnType<typeof startHosts>>;

type Run = {fingerprint: string; host: Host; startedAt: Milliseconds};

/** How the culprit's server ends, as the host that called it sees it. */
const ways = ['closes', 'falls silent', 'ends once the caller has left', 'closes an answer without a length'] as const;

const culprit = 'ends-servers';
const servers = 12;
const runMs: Milliseconds = 300;
/** Time from the start of the culprit's run to the end of its server. */
const endMs: Milliseconds = 100;
/** Time from the end of a server to the removal of its entry. */
const lapseMs: Milliseconds = 3500;
/** Time after which hosts give up a silent server. */
const silentMs: Milliseconds = 1000;

function createModel(fleet: Fleet, random: Random) {
	const pending: Array<{at: Milliseconds; act: () => void}> = [];
	const running = new Map<ServerId, Run[]>(Array.from({length: servers}, (_, i) => [`s-${i}`, []]));
	const counts = {
		ended: 0, endedAt: [] as Milliseconds[], harmless: 0, refused: 0,
	};
	let started = servers;

	const after = (ms: Milliseconds, act: () => void) => {
		pending.push({at: fleet.now() + ms, act});
	};

	const pick = <T>(of: readonly T[]): T => of[Math.floor(random() * of.length)]!;

	function note({fingerprint, host, startedAt}: Run, server: ServerId, end: RunEnd): void {
		const {suspects, partQuarantine} = host;
		noteRunEnd({
			fingerprint, parts: [], server, startedAt, end,
		}, {
			suspects, partQuarantine, log, services: {clock: {now: fleet.now}},
		} as unknown as ServeContext);
	}

	function finish(run: Run, server: ServerId): void {
		const runs = running.get(server);
		if (runs?.includes(run) === true) {
			running.set(server, runs.filter(other => other !== run));
			run.host.suspects.noteAnswered(server, run.startedAt);
			note(run, server, {
				kind: 'answered', status: 200, framing: 'chunks', isRun: true,
			});
		}
	}

	function endServer(server: ServerId, way: typeof ways[number]): void {
		counts.ended++;
		counts.endedAt.push(fleet.now());
		const runs = running.get(server)!;
		running.delete(server);
		running.set(`s-${started++}`, []);
		for (const run of runs) {
			const isCulprit = run.fingerprint === culprit;
			if (way === 'falls silent') {
				after(silentMs, () => {
					note(run, server, {kind: 'without-answer'});
				});
			} else if (isCulprit && way === 'closes an answer without a length') {
				note(run, server, {
					kind: 'answered', status: 200, framing: 'connection', isRun: true,
				});
			} else if (!isCulprit || way === 'closes') {
				note(run, server, {kind: 'closed'});
			}
		}

		after(lapseMs, () => {
			for (const {suspects, partQuarantine, isDead} of fleet.hosts) {
				if (!isDead) {
					createLostServers({
						suspects, partQuarantine, log, clock: {now: fleet.now, wallNow: fleet.now}, isZoneSilent: () => false,
					})({id: server, zone: 'a'});
				}
			}
		});
	}

	function send(fingerprint: string, way?: typeof ways[number]): void {
		const host = pick(fleet.hosts);
		if (host.suspects.isQuarantined(fingerprint, fleet.now())) {
			host.suspects.noteRefused(fingerprint, fleet.now());
			counts.refused += fingerprint === culprit ? 0 : 1;
			return;
		}

		const run = {fingerprint, host, startedAt: fleet.now()};
		const server = pick([...running.keys()]);
		running.get(server)!.push(run);
		if (way === undefined) {
			after(runMs, () => {
				finish(run, server);
			});
			return;
		}

		if (way === 'ends once the caller has left') {
			note(run, server, {kind: 'without-answer'});
		}

		after(endMs, () => {
			if (running.has(server)) {
				endServer(server, way);
			}
		});
	}

	/** A server that goes on breaks off one of its runs. */
	function breakOff(end: RunEnd): void {
		const server = pick([...running.keys()]);
		const [run] = running.get(server)!;
		if (run !== undefined) {
			running.set(server, running.get(server)!.filter(other => other !== run));
			note(run, server, end);
		}
	}

	function pass(ms: Milliseconds): void {
		fleet.pass(ms);
		for (const {act} of pending.splice(0).filter(one => {
			if (one.at > fleet.now()) {
				pending.push(one);
				return false;
			}

			return true;
		})) {
			act();
		}
	}

	return {
		counts, send, breakOff, pass,
	};
}

/** Plays thirty seconds with harmless requests, each of which comes back while the model is played. */
async function play({hosts, way, faults = false, gapMs = msPerSecond}: {hosts: number; way?: typeof ways[number]; faults?: boolean; gapMs?: Milliseconds}) {
	const random = createRandom(hosts + gapMs);
	const fleet = await startHosts(hosts, {lossShare: 0.05, random});
	fleet.pass(10 * msPerSecond);
	const model = createModel(fleet, random);
	const until = fleet.now() + (30 * msPerSecond);
	for (let step = 0; fleet.now() < until; step++) {
		model.counts.harmless++;
		model.send(`harmless-${step % 40}`);
		if (way !== undefined && (step * 50) % gapMs === 0) {
			model.send(culprit, way);
		}

		if (faults && step % 16 === 0) {
			model.breakOff(step % 32 === 0 ? {kind: 'closed'} : {kind: 'without-answer'});
		}

		model.pass(50);
	}

	return model.counts;
}

/** Time after the third end from which no host may send the request on; an end that closes no connection is known once the entry has lapsed. */
const toKnownMs = (way: typeof ways[number]): Milliseconds => way === 'falls silent' ? (3 * msPerSecond) + lapseMs : 3 * msPerSecond;

describe('hosts whose servers end under a request', () => {
	for (const hosts of [7, 74]) {
		for (const way of ways) {
			it(`do not send it on, and refuse no harmless one: ${way}, ${hosts} hosts`, async t => {
				const {ended, endedAt, harmless, refused} = await play({hosts, way});
				const late = endedAt.filter(at => at > endedAt[2]! + toKnownMs(way)).length;
				t.diagnostic(`${ended} servers ended, ${late} of them late; ${refused} of ${harmless} harmless requests refused`);
				assert.ok(ended >= 3);
				assert.equal(late, 0);
				assert.equal(refused, 0);
			});
		}

		it(`refuse no request when servers that go on break runs off: ${hosts} hosts`, async t => {
			const {refused, harmless} = await play({hosts, faults: true});
			t.diagnostic(`${refused} of ${harmless} refused`);
			assert.equal(refused, 0);
		});
	}
});
