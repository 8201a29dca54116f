/*
 * Guards against partial or foreign answers that look complete. An engine answers
 * late, mixes up two streams, repeats or skips tokens, or breaks off in the middle
 * of a letter or of a scene, which may run at most once. The caller has to get
 * every token of its own answer, or an error that says whether the request may
 * have run; the test compares that outcome with the engines' own counts.
 */
import assert from 'node:assert/strict';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {v7 as createKey} from 'uuid';
import {startFleet, type Fleet} from '../_lib/start-fleet/index.js';
import {type EngineFaults} from '../stand-ins/engine/index.js';
import {startCall, type CallResult} from './_lib/start-call.js';

type Case = {
	name: string;
	role: 'prefill' | 'decode';
	faults: EngineFaults;
	/** Whether the whole answer has to arrive despite the fault, because a resume or another attempt can compensate for it. */
	isRecoverable: boolean;
};

const streamKinds = ['short', 'reset', 'garbage', 'oversized', 'crossed', 'duplicated', 'skipped', 'wrong-attempt'] as const;

const cases: readonly Case[] = [
	...streamKinds.flatMap((kind): Case[] => [
		{
			name: `${kind} at the first token`, role: 'decode', faults: {stream: {kind, atToken: 0, times: 1}}, isRecoverable: true,
		},
		{
			name: `${kind} midway`, role: 'decode', faults: {stream: {kind, atToken: 7, times: 1}}, isRecoverable: true,
		},
	]),
	{
		name: 'late', role: 'decode', faults: {lateMs: 300}, isRecoverable: true,
	},
	{
		name: 'garbage for a prefill', role: 'prefill', faults: {garbageAnswers: {times: 1}}, isRecoverable: true,
	},
	{
		name: 'a refused prefill', role: 'prefill', faults: {refuse: {reason: 'full', on: ['prefills'], times: 1}}, isRecoverable: true,
	},
	{
		name: 'a refused reservation', role: 'decode', faults: {refuse: {reason: 'full', on: ['reservations'], times: 1}}, isRecoverable: true,
	},
	{
		name: 'a transfer that resets', role: 'prefill', faults: {transfer: {kind: 'reset', times: 1}}, isRecoverable: true,
	},
	{
		name: 'a lost answer to the reservation', role: 'decode', faults: {loseAnswers: {on: ['reservations'], times: 1}}, isRecoverable: true,
	},
	{
		name: 'a lost answer to the prefill', role: 'prefill', faults: {loseAnswers: {on: ['prefills'], times: 1}}, isRecoverable: true,
	},
	{
		name: 'a lost answer to the start of the stream', role: 'decode', faults: {loseAnswers: {on: ['streams'], times: 1}}, isRecoverable: true,
	},
	{
		name: 'every stream broken', role: 'decode', faults: {stream: {kind: 'reset', atToken: 3}}, isRecoverable: false,
	},
	{
		name: 'every prefill refused', role: 'prefill', faults: {refuse: {reason: 'full', on: ['prefills']}}, isRecoverable: false,
	},
	{
		name: 'every engine lost its answers to prefills', role: 'prefill', faults: {loseAnswers: {on: ['prefills']}}, isRecoverable: false,
	},
];

/** Sums what the engines started for all requests since the last reset. */
function countStarts(fleet: Fleet): {prefills: number; decodes: number; wrong: number} {
	const requests = [...fleet.engines.values()].flatMap(engine => Object.values(engine.judge().requests));
	const sum = (name: 'prefillsStarted' | 'decodesStarted' | 'wrongContinuations') => requests.reduce((total, request) => total + request[name], 0);
	return {prefills: sum('prefillsStarted'), decodes: sum('decodesStarted'), wrong: sum('wrongContinuations')};
}

/** Asserts that the caller got the whole answer, or an explicit error that agrees with the engines' counts. */
function assertUsableResult(result: CallResult, started: {prefills: number; decodes: number}): void {
	const details = JSON.stringify({result, started});
	if (result.isWhole) {
		return;
	}

	assert.equal(result.isBroken, false, `the connection broke without an error event: ${details}`);
	assert.ok(result.outcome !== undefined, `an error without an outcome: ${details}`);
	if (result.outcome === 'not-run') {
		assert.equal(started.prefills + started.decodes, 0, `the outcome is "not-run", but engines started work: ${details}`);
	}
}

describe('the whole answer to its own request', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startFleet({
			zones: ['dvorana-a'],
			prefillsPerZone: 2,
			decodesPerZone: 2,
			// More faults a minute than in operation: the default retry budget, which limits retry storms, would fail some tests.
			entryFlags: {clockBound: '0ms', retryBudget: 1000},
			engine: {timeScale: 2},
		});
	});
	beforeEach(() => {
		for (const engine of fleet.engines.values()) {
			engine.resetJudge();
		}
	});
	afterEach(() => {
		for (const engine of fleet.engines.values()) {
			engine.setFaults({});
		}
	});
	after(async () => {
		await fleet.stop();
	});

	const kinds = [{kind: 'letter', isScene: false}, {kind: 'scene', isScene: true}] as const;
	for (const {name, role, faults, isRecoverable} of cases) {
		for (const {kind, isScene} of kinds) {
			for (const isStreamed of [true, false]) {
				it(`arrives or is refused explicitly: ${name}, a ${isStreamed ? 'streamed' : 'plain'} ${kind}`, async () => {
					for (const engine of fleet.engines.values()) {
						engine.setFaults(engine.id.includes(role) ? structuredClone(faults) : {});
					}

					const result = await startCall(fleet.hosts[0]!.callerUrl, {
						prompt: `${name} ${kind} ${isStreamed}`, maxTokens: 20, isStreamed, isScene, ...(isScene && {key: createKey()}),
					}).done;
					const started = countStarts(fleet);
					assertUsableResult(result, started);
					assert.equal(started.wrong, 0, 'an attempt continued from tokens that were not part of the answer');
					assert.ok(!isScene || started.decodes <= 1, `a scene ran ${started.decodes} times`);
					assert.ok(!isRecoverable || isScene || result.isWhole, `no whole answer despite a recoverable fault: ${JSON.stringify(result)}`);
				});
			}
		}
	}
});
