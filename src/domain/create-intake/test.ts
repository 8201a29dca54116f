import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {createIntake, type Intake} from './index.js';

const noneAccepted = {hasAccepted: false};

/** Adds requests that were read one millisecond after the other, and lets a turn pass. */
function fill(intake: Intake<string>, requests: readonly string[], maxWaitMs = 1000): void {
	for (const [readAt, request] of requests.entries()) {
		intake.add(request, {readAt, maxWaitMs});
	}

	intake.take(0, {hasAccepted: true});
}

describe('createIntake', () => {
	// Guards against a request that is started before the close behind it was read.
	it('starts a request only after a whole turn', () => {
		const intake = createIntake<string>();
		intake.add('a', {readAt: 0, maxWaitMs: 1000});
		assert.deepEqual(intake.take(0, noneAccepted), {started: [], refused: []});
		assert.deepEqual(intake.take(1, noneAccepted), {started: ['a'], refused: []});
		assert.equal(intake.size(), 0);
	});

	it('starts none whose caller has left', () => {
		const intake = createIntake<string>();
		fill(intake, ['a', 'b']);
		assert.equal(intake.remove('a'), true);
		assert.equal(intake.remove('a'), false);
		assert.deepEqual(intake.take(1, noneAccepted).started, ['b']);
	});

	it('starts a few in each turn, in the order in which they were read', () => {
		const intake = createIntake<string>({startsPerTurn: 2});
		fill(intake, ['a', 'b', 'c']);
		assert.deepEqual(intake.take(1, noneAccepted).started, ['a', 'b']);
		assert.deepEqual(intake.take(2, noneAccepted).started, ['c']);
	});

	// Guards against a host that works off a backlog of requests whose callers are about to leave.
	it('starts the newest first once the oldest has waited for long', () => {
		const intake = createIntake<string>({startsPerTurn: 2, behindMs: 100});
		fill(intake, ['a', 'b', 'c']);
		assert.deepEqual(intake.take(101, noneAccepted).started, ['c', 'b']);
		assert.deepEqual(intake.take(102, noneAccepted).started, ['a']);
	});

	it('refuses those that have waited for too long', () => {
		const intake = createIntake<string>({acceptFirstMs: 1000});
		intake.add('patient', {readAt: 0, maxWaitMs: 1000});
		intake.add('quick', {readAt: 0, maxWaitMs: 300});
		intake.take(0, {hasAccepted: true});
		assert.deepEqual(intake.take(301, {hasAccepted: true}), {started: [], refused: ['quick']});
		assert.equal(intake.oldestWaitMs(301), 301);
		assert.deepEqual(intake.take(302, noneAccepted), {started: ['patient'], refused: []});
	});

	// Guards against connections that nobody accepts while requests are started, and whose callers leave meanwhile.
	it('accepts connections before it starts requests, for 50 ms at most', () => {
		const intake = createIntake<string>({startsPerTurn: 1, acceptFirstMs: 50});
		fill(intake, ['a', 'b', 'c']);
		assert.deepEqual(intake.take(10, {hasAccepted: true}).started, []);
		assert.deepEqual(intake.take(50, {hasAccepted: true}).started, ['a']);
		assert.deepEqual(intake.take(60, {hasAccepted: true}).started, []);
		assert.deepEqual(intake.take(70, noneAccepted).started, ['b']);
	});

	it('returns each request once, or not at all if its caller has left', () => {
		fc.assert(fc.property(
			fc.array(fc.record({leaves: fc.boolean(), waitMs: fc.nat(300), accepts: fc.boolean()}), {maxLength: 60}),
			courses => {
				const intake = createIntake<number>({startsPerTurn: 2});
				const returned: number[] = [];
				let now = 0;
				const left = new Set<number>();
				const take = (hasAccepted: boolean): void => {
					const {started, refused} = intake.take(now, {hasAccepted});
					returned.push(...started, ...refused);
				};

				for (const [request, {leaves, waitMs, accepts}] of courses.entries()) {
					intake.add(request, {readAt: now, maxWaitMs: 200});
					take(accepts);
					now += waitMs;
					if (leaves && intake.remove(request)) {
						left.add(request);
					}
				}

				for (let turn = 0; intake.size() > 0; turn++) {
					assert.ok(turn <= courses.length + 1, 'the intake does not empty');
					take(false);
				}

				const expected = [...courses.keys()].filter(request => !left.has(request));
				assert.deepEqual(returned.toSorted((a, b) => a - b), expected);
			},
		));
	});
});
