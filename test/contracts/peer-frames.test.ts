import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createFrameDecoder, encodeFrame, type Frame} from '../../src/adapters/peer-tcp/_lib/frame.js';
import {toBytes} from './_lib/peer-fixture.js';

describe('createFrameDecoder', () => {
	function pushInParts(bytes: Uint8Array, cuts: readonly number[]) {
		const decoder = createFrameDecoder({limitBytes: 4096});
		const frames: Frame[] = [];
		const edges = [0, ...cuts.map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length];
		let fault: string | undefined;
		for (const [i, start] of edges.entries()) {
			const result = decoder.push(bytes.subarray(start, edges[i + 1] ?? start));
			if (result.isErr()) {
				fault = result.error.kind;
				break;
			}

			frames.push(...result.value);
		}

		return {frames, fault, pending: decoder.pendingBytes()};
	}

	it('decodes any bytes in any split to frames or one fault, and keeps a bounded rest', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 300}), fc.array(fc.nat()), (bytes, cuts) => {
			const {pending} = pushInParts(bytes, cuts);
			assert.ok(pending <= 4096 + 4);
		}), {numRuns: 1000});
	});

	it('returns one frame or a fault, and never throws, for a complete frame of any bytes', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			const {frames, fault} = pushInParts(toBytes(Buffer.from(bytes)), []);
			assert.ok(fault !== undefined || frames.length === 1);
		}), {numRuns: 2000});
	});

	it('decodes encoded frames, in any split', () => {
		const frame = fc.oneof(
			fc.record({
				type: fc.constant('call' as const), id: fc.nat(), method: fc.string(), body: fc.jsonValue(),
			}),
			fc.record({type: fc.constant('event' as const), name: fc.string(), body: fc.string({unit: 'grapheme'})}),
		);
		fc.assert(fc.property(fc.array(frame, {maxLength: 4}), fc.array(fc.nat()), (sent, cuts) => {
			const bytes = Buffer.concat(sent.map(one => encodeFrame(one)._unsafeUnwrap()));
			const {frames, fault} = pushInParts(bytes, cuts);
			assert.equal(fault, undefined);
			// The codec renames this key on purpose; see the next test.
			assert.equal(JSON.stringify(frames), JSON.stringify(sent).replaceAll('"__proto__":', '"__proto_":'));
		}));
	});

	it('lets no key in a frame change the prototype of the decoded value', () => {
		const body: unknown = JSON.parse('{"__proto__": {"polluted": true}}');
		const {frames} = pushInParts(encodeFrame({type: 'event', name: 'n', body})._unsafeUnwrap(), []);
		const [frame] = frames;
		assert.ok(frame?.type === 'event');
		assert.equal(Object.getPrototypeOf(frame.body), Object.prototype);
		assert.equal((frame.body as {polluted?: boolean}).polluted, undefined);
	});
});
