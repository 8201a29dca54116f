/** Tests of a host whose platform sends answers that arrive for seconds. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type Milliseconds} from '../../../ports/clock.js';
import {startFollowed} from './_test/start-followed.js';

const startMs: Milliseconds = 5000;
const transferMs: Milliseconds = 4000;
/** Time within which a host must act on what is published, less the transit time of a request. */
const actWithinMs: Milliseconds = 2000 - 150;

type Change = {afterMs: Milliseconds; name: string; state: 'ready' | 'leaving' | 'removed'};

describe('followPublished while a long answer arrives', () => {
	// Guards against requests that reach servers which left while a large configuration arrived on a slow link.
	it('follows servers that leave', async () => {
		for (let phase = 0; phase < transferMs; phase += 197) {
			const {time, platform, used, stop} = startFollowed(() => 0.5);
			await time.runUntil(startMs);
			platform.setTransferMs(transferMs);
			platform.publishRules();
			await time.runUntil(startMs + phase);
			platform.put('leaves', true);
			await time.runUntil(startMs + phase + actWithinMs);
			assert.deepEqual(used(), ['stays'], `left ${phase} ms after the rules were published`);
			await stop();
		}
	});

	// Guards against a long answer that undoes newer changes of servers which were read beside it.
	it('ends with the newest state of each server, and at no time uses one again that has left (property)', async () => {
		const changes = fc.array(fc.record<Change>({
			afterMs: fc.integer({min: 1, max: 900}), name: fc.constantFrom('stays', 'leaves', 'third'), state: fc.constantFrom('ready', 'leaving', 'removed'),
		}), {maxLength: 20});
		await fc.assert(fc.asyncProperty(changes, async script => {
			const {time, platform, used, stop} = startFollowed(() => 0.5);
			await time.runUntil(startMs);
			platform.setTransferMs(transferMs);
			platform.publishRules();
			const states = new Map<string, Change['state']>([['stays', 'ready'], ['leaves', 'ready']]);
			const toReady = () => [...states].filter(([, state]) => state === 'ready').map(([name]) => name).toSorted((a, b) => a.localeCompare(b));
			let at = startMs;
			for (const {afterMs, name, state} of script) {
				at += afterMs;
				await time.runUntil(at);
				if (state === 'removed') {
					platform.remove(name);
				} else {
					platform.put(name, state === 'leaving');
				}

				states.set(name, state);
			}

			// Once nothing changes any more, no state may differ for longer than a host has to act.
			await time.runUntil(at + actWithinMs);
			for (let later = at + actWithinMs; later < at + (2 * transferMs); later += 50) {
				await time.runUntil(later);
				assert.deepEqual(used(), toReady(), `${later - at} ms after the last change`);
			}

			await stop();
		}), {numRuns: 60});
	});

	it('asks for servers apart only while a long answer arrives', async () => {
		const {time, platform, stop} = startFollowed(() => 0.5);
		await time.runUntil(startMs);
		const before = platform.reads();
		platform.publishRules();
		await time.runUntil(startMs + transferMs);
		const usual = platform.reads() - before;
		assert.ok(usual <= Math.ceil(transferMs / 600), `${usual} reads`);
		await stop();
	});
});
