import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toArrivalDeadline, type Arrival} from './index.js';

const limits = {headMs: 700, silentMs: 500, minBytesPerSecond: 16_384};

/** Lets bytes arrive at the given intervals, and returns when the answer became late, if it did. */
function arrive(pieces: ReadonlyArray<{afterMs: number; bytes: number}>): number | undefined {
	const arrival = {
		startedAt: 0, headAt: 100, lastByteAt: 100, bytes: 0,
	};
	for (const {afterMs, bytes} of pieces) {
		const deadline = toArrivalDeadline(limits, arrival);
		arrival.lastByteAt += afterMs;
		if (arrival.lastByteAt > deadline) {
			return deadline;
		}

		arrival.bytes += bytes;
	}

	return undefined;
}

describe('toArrivalDeadline', () => {
	it('limits the time to the head', () => {
		const arrival: Arrival = {
			startedAt: 40, headAt: undefined, lastByteAt: 40, bytes: 0,
		};
		assert.equal(toArrivalDeadline(limits, arrival), 740);
	});

	// Guards against a limit on a whole transfer, which ends each long answer on a slow link.
	it('never ends an answer that keeps its rate, however long it is (property)', () => {
		const piece = fc.record({afterMs: fc.integer({min: 1, max: 400}), bytes: fc.integer({min: 8192, max: 65_536})});
		fc.assert(fc.property(fc.array(piece, {maxLength: 2000}), pieces => {
			assert.equal(arrive(pieces), undefined);
		}));
	});

	it('ends an answer that stands still after 500 ms, whatever came before (property)', () => {
		const piece = fc.record({afterMs: fc.integer({min: 1, max: 400}), bytes: fc.integer({min: 8192, max: 65_536})});
		fc.assert(fc.property(fc.array(piece, {maxLength: 200}), pieces => {
			const stoppedAt = 100 + pieces.reduce((sum, {afterMs}) => sum + afterMs, 0);
			const lateAt = arrive([...pieces, {afterMs: 60_000, bytes: 0}]);
			assert.ok(lateAt !== undefined && lateAt <= stoppedAt + limits.silentMs, `late at ${lateAt}, stopped at ${stoppedAt}`);
		}));
	});

	// Guards against a host that is held for ever by an answer that comes byte by byte.
	it('ends an answer of single bytes soon, at any interval (property)', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 499}), afterMs => {
			const lateAt = arrive(Array.from({length: 1000}, () => ({afterMs, bytes: 1})));
			assert.ok(lateAt !== undefined && lateAt < 100 + (2 * limits.silentMs), `late at ${lateAt}`);
		}));
	});
});
