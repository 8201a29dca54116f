import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toReport, toServer} from '../create-placement/_lib/fixtures.js';
import {createLeavingOverrides, type ReportContext} from './index.js';

const server = 'd1';
const load = toReport(toServer(server, 'decode'));

type Step =
	| {kind: 'refused' | 'lost'}
	| {kind: 'report'; state?: 'serving' | 'loading' | 'leaving'; listed?: boolean; before?: Partial<ReportContext>; gives: 'serving' | 'loading' | 'leaving'}
	| {kind: 'probe'; accepted: boolean}
	| {kind: 'no-probe'};

const refused: Step = {kind: 'refused'};
const held: Step = {kind: 'report', gives: 'leaving'};
const free: Step = {kind: 'report', gives: 'serving'};

/** Each row: what happens at which second. */
const rows: ReadonlyArray<[name: string, steps: ReadonlyArray<[at: number, step: Step]>]> = [
	['lets a report pass that nobody contradicts', [[0, free]]],
	['holds a refusal against reports that say serving', [[0, free], [1, refused], [2, held], [100, held]]],
	['ends it when a probe is accepted', [[0, free], [1, refused], [2, held], [5, {kind: 'no-probe'}], [6, {kind: 'probe', accepted: true}], [7, free]]],
	['waits twice as long after each probe that fails', [
		[0, free],
		[1, refused],
		[2, held],
		[6, {kind: 'probe', accepted: false}],
		[15, {kind: 'no-probe'}],
		[16, {kind: 'probe', accepted: false}],
		[35, {kind: 'no-probe'}],
		[36, {kind: 'probe', accepted: false}],
		[37, held],
	]],
	['goes on with the delay when a server that accepted a probe refuses again', [
		[0, free], [1, refused], [2, held], [6, {kind: 'probe', accepted: true}], [7, refused], [16, {kind: 'no-probe'}], [17, {kind: 'probe', accepted: true}], [18, free],
	]],
	['ends it when the server itself reported leaving and then serving', [
		[0, free], [1, refused], [2, held], [3, {kind: 'report', state: 'leaving', gives: 'leaving'}], [20, {kind: 'no-probe'}], [21, free],
	]],
	['begins anew with the first delay after a leave that the server took back', [
		[0, free], [1, refused], [2, {kind: 'report', state: 'leaving', gives: 'leaving'}], [3, free], [4, refused], [9, {kind: 'probe', accepted: true}],
	]],
	['ends it when the list had it as leaving and then as serving', [[0, free], [1, refused], [2, {kind: 'report', listed: true, gives: 'leaving'}], [20, {kind: 'no-probe'}], [21, free]]],
	['probes with the first delay a server that refuses a minute after it accepted a probe', [
		[100, free], [101, refused], [102, held], [106, {kind: 'probe', accepted: true}], [166, refused], [170, {kind: 'no-probe'}], [171, {kind: 'probe', accepted: true}],
	]],
	['goes on with the delay just before that', [
		[100, free], [101, refused], [102, held], [106, {kind: 'probe', accepted: true}], [165, refused], [170, {kind: 'no-probe'}], [175, {kind: 'probe', accepted: true}],
	]],
	['does not put the probe off when others are refused too', [[0, free], [1, refused], [2, held], [4, refused], [6, {kind: 'probe', accepted: true}]]],
	['believes a server that says it leaves, is late to refuse, and serves again', [[0, free], [1, {kind: 'report', state: 'leaving', gives: 'leaving'}], [2, refused], [3, free]]],
	['believes it after it has said so twice as well', [
		[0, free], [1, refused], [2, {kind: 'report', state: 'leaving', gives: 'leaving'}], [3, {kind: 'report', state: 'leaving', gives: 'leaving'}], [4, refused], [5, free],
	]],
	['lets a server pass that was not reached and that nobody contradicts', [[0, free], [1, {kind: 'lost'}], [2, free]]],
	['probes at once a server that was not reached meanwhile', [[0, free], [1, refused], [2, held], [3, {kind: 'lost'}], [4, {kind: 'probe', accepted: true}], [5, free]]],
	['lets a server load weights', [[0, free], [1, refused], [2, {kind: 'report', state: 'loading', gives: 'loading'}], [3, held]]],
	['takes a hold over from the host that polled before', [
		[0, {kind: 'report', before: {wasLeaving: true, previousState: 'leaving'}, gives: 'leaving'}], [5, {kind: 'probe', accepted: true}], [6, free],
	]],
	['drops a hold that the host which polled before has ended', [
		[0, refused], [300, {kind: 'report', before: {wasLeaving: false, previousState: 'serving'}, gives: 'serving'}], [301, {kind: 'no-probe'}],
	]],
	['keeps a hold that it heard of before it polled', [[0, refused], [1, {kind: 'report', before: {wasLeaving: true, previousState: 'serving'}, gives: 'leaving'}]]],
];

describe('createLeaveHold', () => {
	for (const [name, steps] of rows) {
		it(name, () => {
			const hold = createLeavingOverrides();
			for (const [at, step] of steps) {
				const now = at * 1000;
				switch (step.kind) {
					case 'refused': {
						hold.noteRefusal(server, now);
						break;
					}

					case 'lost': {
						hold.noteUnreachable(server, now);
						break;
					}

					case 'report': {
						const {state = 'serving', listed = false, before} = step;
						const context = {
							wasLeaving: false, previousState: 'serving' as const, isListedLeaving: () => listed, ...before,
						};
						assert.equal(hold.toEffectiveReport({...load, state}, now, context).state, step.gives, `at ${at} s`);
						break;
					}

					case 'no-probe': {
						assert.ok(!hold.takeProbe(server, now), `at ${at} s`);
						break;
					}

					case 'probe': {
						assert.ok(hold.takeProbe(server, now), `at ${at} s`);
						assert.ok(!hold.takeProbe(server, now), 'a second probe went out before the first was answered');
						hold.noteProbeResult(server, step.accepted, now);
					}
				}
			}
		});
	}

	it('knows nothing of a server that it no longer polls, nor heeds a probe that ends then', () => {
		const context: ReportContext = {wasLeaving: true, previousState: 'serving', isListedLeaving: () => false};
		const hold = createLeavingOverrides();
		hold.toEffectiveReport(load, 0, context);
		hold.noteRefusal(server, 1000);
		assert.ok(hold.takeProbe(server, 6000));
		hold.forget(server);
		hold.noteProbeResult(server, false, 6100);
		assert.ok(!hold.takeProbe(server, 60_000));
		assert.equal(hold.toEffectiveReport(load, 61_000, context).state, 'serving');
	});
});
