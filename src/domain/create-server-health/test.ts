import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createServerHealth} from './index.js';

const toSubject = (server: string, groupSize = 6) => ({server, group: 'main/decode', groupSize});

const toNames = (count: number) => Array.from({length: count}, (_, i) => `s${i}`);

/** Records enough failures to eject a server. */
const breakServer = (health: ReturnType<typeof createServerHealth>, server: string, groupSize: number, now: number) => {
	for (let i = 0; i < 5; i++) {
		health.noteFailure(toSubject(server, groupSize), 'broken', now);
	}
};

describe('createServerHealth', () => {
	it('gives an unknown server its full share', () => {
		assert.equal(createServerHealth().toShare('s0', 0), 1);
	});

	it('ejects a server after failures, and lets it return gradually', () => {
		const health = createServerHealth({ejectMs: 5000, rampMs: 10_000, rampFrom: 0.1});
		breakServer(health, 's0', 6, 0);
		assert.equal(health.toShare('s0', 1), 0);
		assert.equal(health.toShare('s0', 4999), 0);
		const shares = [5000, 8000, 12_000, 15_000].map(now => health.toShare('s0', now));
		assert.ok(shares[0]! > 0 && shares[0]! < 0.2);
		assert.deepEqual(shares, shares.toSorted((a, b) => a - b));
		assert.equal(shares[3], 1);
	});

	it('ejects a server for longer each time it fails just after its return', () => {
		const health = createServerHealth({ejectMs: 1000, maxEjectMs: 60_000});
		breakServer(health, 's0', 6, 0);
		health.noteFailure(toSubject('s0'), 'broken', 1001);
		assert.equal(health.toShare('s0', 2900), 0);
		assert.ok(health.toShare('s0', 3100) > 0);
	});

	it('does not eject a server for rare failures among successes', () => {
		const health = createServerHealth();
		for (let i = 0; i < 1000; i++) {
			health.noteSuccess(toSubject('s0'), i * 10);
			health.noteSuccess(toSubject('s0'), i * 10);
			if (i % 5 === 0) {
				health.noteFailure(toSubject('s0'), 'broken', i * 10);
			}

			assert.equal(health.toShare('s0', i * 10), 1);
		}
	});

	it('ejects a server much slower than its peers, and none when all are slow', () => {
		const health = createServerHealth();
		for (let i = 0; i < 100; i++) {
			for (const server of toNames(6)) {
				health.noteSlowness(toSubject(server), server === 's0' ? 12 : 1.2, i);
			}
		}

		assert.equal(health.toShare('s0', 100), 0);
		const slowAll = createServerHealth();
		for (let i = 0; i < 100; i++) {
			for (const server of toNames(6)) {
				slowAll.noteSlowness(toSubject(server), 12, i);
				assert.equal(slowAll.toShare(server, i), 1);
			}
		}
	});

	it('ejects at most its cap, the first bad servers, below the panic share', () => {
		const health = createServerHealth({maxEjectedShare: 0.34});
		for (const [i, server] of toNames(3).entries()) {
			breakServer(health, server, 6, i);
		}

		assert.deepEqual(toNames(3).map(server => health.toShare(server, 10)), [0, 0, 1]);
	});

	it('ejects no server once more than half of the group looks bad', () => {
		const health = createServerHealth();
		for (const [i, server] of toNames(6).entries()) {
			breakServer(health, server, 6, i);
		}

		assert.deepEqual(toNames(6).map(server => health.toShare(server, 10)), [1, 1, 1, 1, 1, 1]);
	});

	it('starts a returning server with a small share', () => {
		const health = createServerHealth({rampMs: 10_000, rampFrom: 0.1});
		health.noteReturn(toSubject('s0'), 0);
		assert.equal(health.toShare('s0', 0), 0.1);
		assert.equal(health.toShare('s0', 10_000), 1);
	});

	it('never ejects more servers than its cap allows, whatever happens (property)', () => {
		const event = fc.record({server: fc.nat(11), kind: fc.constantFrom('broken' as const, 'unreachable' as const, 'ok' as const, 'slow' as const), afterMs: fc.nat(200)});
		fc.assert(fc.property(fc.integer({min: 1, max: 12}), fc.array(event, {minLength: 20, maxLength: 200, size: 'max'}), (size, events) => {
			const health = createServerHealth({maxEjectedShare: 0.34, minSlowSamples: 2});
			let now = 0;
			for (const {server, kind, afterMs} of events) {
				const subject = toSubject(`s${server % size}`, size);
				now += afterMs;
				if (kind === 'ok') {
					health.noteSuccess(subject, now);
				} else if (kind === 'slow') {
					health.noteSlowness(subject, 50, now);
				} else {
					health.noteFailure(subject, kind, now);
				}

				const at = now;
				const out = toNames(size).filter(name => health.toShare(name, at) === 0).length;
				assert.ok(out < size, `all ${size} ejected`);
				assert.ok(out <= Math.max(1, Math.floor(size * 0.34)), `${out} of ${size} ejected`);
			}
		}));
	});
});
