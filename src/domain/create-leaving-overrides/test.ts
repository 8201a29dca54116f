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
const overridden: Step = {kind: 'report', gives: 'leaving'};
const free: Step = {kind: 'report', gives: 'serving'};

/** Steps of each case with their time in seconds. */
const rows: ReadonlyArray<[name: string, steps: ReadonlyArray<[at: number, step: Step]>]> = [
	['does not change a report without a refusal', [[0, free]]],
	['overrides reports of serving after a refusal', [[0, free], [1, refused], [2, overridden], [100, overridden]]],
	['ends the override when a probe is accepted', [[0, free], [1, refused], [2, overridden], [5, {kind: 'no-probe'}], [6, {kind: 'probe', accepted: true}], [7, free]]],
	['doubles the delay after each failed probe', [
		[0, free],
		[1, refused],
		[2, overridden],
		[6, {kind: 'probe', accepted: false}],
		[15, {kind: 'no-probe'}],
		[16, {kind: 'probe', accepted: false}],
		[35, {kind: 'no-probe'}],
		[36, {kind: 'probe', accepted: false}],
		[37, overridden],
	]],
	['continues to double the delay when a server refuses again soon after it accepted a probe', [
		[0, free], [1, refused], [2, overridden], [6, {kind: 'probe', accepted: true}], [7, refused], [16, {kind: 'no-probe'}], [17, {kind: 'probe', accepted: true}], [18, free],
	]],
	['ends the override when the server itself reported leaving and then serving', [
		[0, free], [1, refused], [2, overridden], [3, {kind: 'report', state: 'leaving', gives: 'leaving'}], [20, {kind: 'no-probe'}], [21, free],
	]],
	['starts again with the first delay after the server itself reported leaving and then serving', [
		[0, free], [1, refused], [2, {kind: 'report', state: 'leaving', gives: 'leaving'}], [3, free], [4, refused], [9, {kind: 'probe', accepted: true}],
	]],
	['ends the override when the platform listed the server as leaving and then as serving', [
		[0, free], [1, refused], [2, {kind: 'report', listed: true, gives: 'leaving'}], [20, {kind: 'no-probe'}], [21, free],
	]],
	['starts again with the first delay when a server refuses a minute after it accepted a probe', [
		[100, free], [101, refused], [102, overridden], [106, {kind: 'probe', accepted: true}], [166, refused], [170, {kind: 'no-probe'}], [171, {kind: 'probe', accepted: true}],
	]],
	['continues to double the delay just before that minute has passed', [
		[100, free], [101, refused], [102, overridden], [106, {kind: 'probe', accepted: true}], [165, refused], [170, {kind: 'no-probe'}], [175, {kind: 'probe', accepted: true}],
	]],
	['does not postpone the probe when other requests are refused', [[0, free], [1, refused], [2, overridden], [4, refused], [6, {kind: 'probe', accepted: true}]]],
	['ends the override of a server that reports leaving, refuses later, and reports serving again', [[0, free], [1, {kind: 'report', state: 'leaving', gives: 'leaving'}], [2, refused], [3, free]]],
	['ends the override also after the server has reported leaving twice', [
		[0, free], [1, refused], [2, {kind: 'report', state: 'leaving', gives: 'leaving'}], [3, {kind: 'report', state: 'leaving', gives: 'leaving'}], [4, refused], [5, free],
	]],
	['does not change the report of a server that was unreachable and has not refused', [[0, free], [1, {kind: 'lost'}], [2, free]]],
	['probes at once a server that was unreachable since the refusal', [[0, free], [1, refused], [2, overridden], [3, {kind: 'lost'}], [4, {kind: 'probe', accepted: true}], [5, free]]],
	['does not override the state loading', [[0, free], [1, refused], [2, {kind: 'report', state: 'loading', gives: 'loading'}], [3, overridden]]],
	['takes over an override from the host that polled before', [
		[0, {kind: 'report', before: {wasLeaving: true, previousState: 'leaving'}, gives: 'leaving'}], [5, {kind: 'probe', accepted: true}], [6, free],
	]],
	['drops an override that the host which polled before has ended', [
		[0, refused], [300, {kind: 'report', before: {wasLeaving: false, previousState: 'serving'}, gives: 'serving'}], [301, {kind: 'no-probe'}],
	]],
	['keeps an override for a refusal that it heard of before it polled the server', [[0, refused], [1, {kind: 'report', before: {wasLeaving: true, previousState: 'serving'}, gives: 'leaving'}]]],
];

describe('createLeavingOverrides', () => {
	for (const [name, steps] of rows) {
		it(name, () => {
			const overrides = createLeavingOverrides();
			for (const [at, step] of steps) {
				const now = at * 1000;
				switch (step.kind) {
					case 'refused': {
						overrides.noteRefusal(server, now);
						break;
					}

					case 'lost': {
						overrides.noteUnreachable(server, now);
						break;
					}

					case 'report': {
						const {state = 'serving', listed = false, before} = step;
						const context = {
							wasLeaving: false, previousState: 'serving' as const, isListedLeaving: () => listed, ...before,
						};
						assert.equal(overrides.toEffectiveReport({...load, state}, now, context).state, step.gives, `at ${at} s`);
						break;
					}

					case 'no-probe': {
						assert.ok(!overrides.takeProbe(server, now), `at ${at} s`);
						break;
					}

					case 'probe': {
						assert.ok(overrides.takeProbe(server, now), `at ${at} s`);
						assert.ok(!overrides.takeProbe(server, now), 'a second probe was sent before the first was answered');
						overrides.noteProbeResult(server, step.accepted, now);
					}
				}
			}
		});
	}

	it('drops the state of a server that it no longer polls, and ignores the result of a probe still in flight', () => {
		const context: ReportContext = {wasLeaving: true, previousState: 'serving', isListedLeaving: () => false};
		const overrides = createLeavingOverrides();
		overrides.toEffectiveReport(load, 0, context);
		overrides.noteRefusal(server, 1000);
		assert.ok(overrides.takeProbe(server, 6000));
		overrides.forget(server);
		overrides.noteProbeResult(server, false, 6100);
		assert.ok(!overrides.takeProbe(server, 60_000));
		assert.equal(overrides.toEffectiveReport(load, 61_000, context).state, 'serving');
	});
});
