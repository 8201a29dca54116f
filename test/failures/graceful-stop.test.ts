/*
 * Guards against errors and forgotten idempotency keys in a rolling restart. All
 * hosts are restarted one after the other, as in a release, while callers send
 * letters, scenes and desk calls, and long letters stream. The callers follow
 * readiness, as a load balancer does, and `Connection: close`. No call may fail, no
 * answer may lose a token, and a key that was used before a restart must not run
 * again after it.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, before, describe, it,
} from 'node:test';
import {v7 as createKey} from 'uuid';
import {startFleet, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {createKeepAliveCaller, type KeepAliveCaller} from './_lib/create-keep-alive-caller.js';
import {startCall, type CallOptions} from './_lib/start-call.js';

const deadlineMs = 60_000;
const callerCount = 8;
const longLettersPerHost = 3;
const readyPollIntervalMs = 100;
const betweenCallsMs = 20;

/** Polls the readiness of hosts, as a load balancer does to route new connections. */
function watchReadiness(hosts: readonly FleetHost[]) {
	const ready = new Set<FleetHost>();
	const ending = new AbortController();
	const checkReady = async (host: FleetHost): Promise<void> => {
		try {
			const answer = await fetch(`${host.entryOperatorUrl}/ready`, {signal: AbortSignal.timeout(1000)});
			await answer.text();
			if (answer.status === 200) {
				ready.add(host);
				return;
			}
		} catch {}

		ready.delete(host);
	};

	const done = (async () => {
		while (!ending.signal.aborted) {
			await Promise.all(hosts.map(async host => checkReady(host)));
			await sleep(readyPollIntervalMs);
		}
	})();
	return {
		ending,
		pick: (i: number): FleetHost | undefined => [...ready][i % Math.max(1, ready.size)],
		isReady: (host: FleetHost) => ready.has(host),
		async end() {
			ending.abort();
			await done;
		},
	};
}

type CallReport = {what: string; host: string; isWhole: boolean; detail: string};

describe('a graceful stop of all hosts, one after the other', () => {
	let fleet: Fleet;
	/** End the loops of a test, which would otherwise go on after the test failed. */
	const endings: AbortController[] = [];

	before(async () => {
		fleet = await startFleet({
			zones: ['dvorana-a', 'dvorana-b'],
			hostsPerZone: 2,
			// With the default clock bound, a restarted witness that got no hand-over vouches for no key for four minutes.
			entryClock: {startedAgoMs: 600_000},
			entryFlags: {drainDelay: '1s'},
			prefillEngine: {prefillConcurrency: 4},
			decodeEngine: {decodeTokensPerSecond: 60, slots: 60},
		});
	});
	after(async () => {
		for (const controller of endings) {
			controller.abort();
		}

		await fleet.stop();
	});

	it('breaks no answer and forgets no key', async t => {
		const reports: CallReport[] = [];
		const readiness = watchReadiness(fleet.hosts);
		await waitUntil(() => fleet.hosts.every(host => readiness.isReady(host)), {deadlineMs, what: 'all hosts to be ready'});
		const scene = (): CallOptions => ({
			prompt: `scene ${createKey()}`, maxTokens: 5, isScene: true, key: createKey(),
		});
		const usedKeys = await Promise.all(fleet.hosts.map(async host => {
			const options = scene();
			const result = await startCall(host.callerUrl, options).done;
			assert.equal(result.isWhole, true, JSON.stringify(result));
			return options;
		}));

		const countScenes = () => [...fleet.engines.values()]
			.flatMap(engine => Object.values(engine.judge().requests))
			.reduce((sum, request) => sum + request.decodesStarted, 0);

		const ending = new AbortController();
		endings.push(ending, readiness.ending);
		let asked = 0;
		const work = async (caller: KeepAliveCaller, number: number): Promise<void> => {
			for (let i = number; !ending.signal.aborted; i++) {
				const host = readiness.pick(i);
				if (host === undefined) {
					await sleep(readyPollIntervalMs);
					continue;
				}

				asked++;
				const kind = (['letter', 'scene', 'desk lookup', 'desk change'] as const)[i % 4]!;
				const {isWhole, detail} = await caller.ask(host.callerUrl, kind, `${number}-${i}`);
				reports.push({
					what: kind, host: host.id, isWhole, detail,
				});
				await sleep(betweenCallsMs);
			}
		};

		const callers = Array.from({length: callerCount}, () => createKeepAliveCaller());
		const working = Promise.all(callers.map(async (caller, number) => work(caller, number)));
		const stopDurationsMs: number[] = [];
		const claimLines: Array<() => string[]> = [];
		const longLetters: Array<Promise<CallReport>> = [];
		const startLong = async (host: FleetHost, i: number): Promise<CallReport> => {
			const result = await startCall(host.callerUrl, {prompt: `long letter ${host.id} ${i}`, maxTokens: 240}).done;
			return {
				what: 'long letter', host: host.id, isWhole: result.isWhole, detail: JSON.stringify({...result, text: result.text.length}),
			};
		};

		for (const host of fleet.hosts) {
			const own = Array.from({length: longLettersPerHost}, async (_, i) => startLong(host, i));
			longLetters.push(...own);
			await sleep(500);
			const stoppedAt = performance.now();
			const leaving = host.entry();
			await host.stop(deadlineMs);
			stopDurationsMs.push(Math.round(performance.now() - stoppedAt));
			// The clock gives no earlier start time, so the host can vouch for keys only after a hand-over.
			host.setClock({});
			await host.start();
			await waitUntil(() => readiness.isReady(host), {deadlineMs, what: `${host.id} to be ready again`});
			claimLines.push(() => [...leaving.logs(), ...host.entry().logs()]
				.filter(({message}) => String(message).includes('claims'))
				.map(({message, peer, count}) => `${host.id} ${String(message)} ${String(peer)} ${String(count)}`));
		}

		ending.abort();
		await working;
		await Promise.all(callers.map(async caller => caller.close()));
		reports.push(...await Promise.all(longLetters));
		await readiness.end();

		const runsBefore = countScenes();
		const again = await Promise.all(usedKeys.flatMap(options => fleet.hosts.map(async host => startCall(host.callerUrl, options).done)));
		const outcomeCounts = new Map<string, number>();
		for (const {isWhole, outcome} of again) {
			const label = isWhole ? 'whole answers' : (outcome ?? 'without an outcome');
			outcomeCounts.set(label, (outcomeCounts.get(label) ?? 0) + 1);
		}

		const failed = reports.filter(({isWhole}) => !isWhole);
		t.diagnostic(`${asked} calls and ${longLetters.length} long letters during ${fleet.hosts.length} restarts: ${failed.length} not whole`);
		t.diagnostic(`stops took ${stopDurationsMs.join(', ')} ms`);
		t.diagnostic(`keys from before the restarts, sent to all hosts again: ${[...outcomeCounts].map(([outcome, count]) => `${count} ${outcome}`).join(', ')}`);
		t.diagnostic(claimLines.flatMap(toLines => toLines()).join('\n'));
		assert.deepEqual(failed.slice(0, 10), []);
		assert.ok(reports.some(({what}) => what === 'scene'), 'no scene was sent during the restarts');
		assert.equal(countScenes(), runsBefore, 'a key that was used before a restart ran again');
		assert.ok(again.every(({isWhole, outcome}) => isWhole || outcome === 'may-have-run' || outcome === 'ran'), JSON.stringify(again));
	});
});
