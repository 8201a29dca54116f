import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type RunReader, createRunTable} from './index.js';

const key = {workspace: 'glossworks', key: '01890a5d-ac96-774b-bcce-b302099a8057'};
const run = {...key, digest: 'digest', isRepeatable: false};
const encode = (text: string) => new TextEncoder().encode(text);

async function readAll(reader: RunReader): Promise<string> {
	let text = '';
	for (;;) {
		const part = await reader.next();
		if (part.kind === 'bytes') {
			text += new TextDecoder().decode(part.bytes);
		} else if (part.kind === 'head') {
			text += `${part.status}:`;
		} else {
			return `${text}|${part.kind === 'end' ? part.end : part.kind}`;
		}
	}
}

describe('createRunTable', () => {
	it('gives a reader that joins the complete answer from its first byte, however far the run is', async () => {
		const pieces = fc.array(fc.string({unit: 'grapheme-ascii', maxLength: 5}), {maxLength: 12});
		await fc.assert(fc.asyncProperty(pieces, fc.nat({max: 12}), async (texts, joinAfter) => {
			const runs = createRunTable();
			const writer = runs.start(run, 0)._unsafeUnwrap();
			const first = readAll(runs.join(run, 0)._unsafeUnwrap());
			let second: Promise<string> | undefined;
			writer.writeHead(200, {});
			for (const [i, text] of texts.entries()) {
				if (i === joinAfter) {
					second = readAll(runs.join(run, 0)._unsafeUnwrap());
				}

				writer.write(encode(text));
				await Promise.resolve();
			}

			writer.end('complete', 0);
			const whole = `200:${texts.join('')}|complete`;
			assert.equal(await (second ?? first), whole);
			const ofFirst = await first;
			assert.ok(ofFirst === whole || ofFirst.endsWith('|taken-over'));
			assert.equal(await readAll(runs.join(run, 1)._unsafeUnwrap()), whole);
		}));
	});

	it('starts a key once and refuses another body', () => {
		const runs = createRunTable();
		assert.ok(runs.start(run, 0).isOk());
		assert.equal(runs.start(run, 0)._unsafeUnwrapErr(), 'exists');
		assert.equal(runs.join({...run, digest: 'other'}, 0)._unsafeUnwrapErr(), 'other-body');
		assert.equal(runs.join({...run, workspace: 'naslovnik'}, 0)._unsafeUnwrapErr(), 'unknown');
	});

	it('frees the key of work that did not run, after its reader has got the answer', async () => {
		const runs = createRunTable();
		const writer = runs.start(run, 0)._unsafeUnwrap();
		const reader = runs.join(run, 0)._unsafeUnwrap();
		writer.writeHead(503, {});
		writer.end('retryable', 0);
		assert.equal(await readAll(reader), '503:|retryable');
		assert.ok(runs.start(run, 0).isOk());
	});

	it('frees the key of a broken run only if the work may be run again', async () => {
		for (const isRepeatable of [true, false]) {
			const runs = createRunTable();
			const writer = runs.start({...run, isRepeatable}, 0)._unsafeUnwrap();
			const reader = runs.join(run, 0)._unsafeUnwrap();
			writer.write(encode('1'));
			writer.end('broken', 0);
			assert.equal(await readAll(reader), '1|broken');
			assert.equal(runs.join(run, 0)._unsafeUnwrapErr(), isRepeatable ? 'unknown' : 'broken');
		}
	});

	it('asks the writer to wait for a slow reader, and not when there is no reader', async () => {
		const runs = createRunTable({highWaterBytes: 4});
		const writer = runs.start(run, 0)._unsafeUnwrap();
		assert.equal(writer.write(encode('12345')), true);
		const reader = runs.join(run, 0)._unsafeUnwrap();
		assert.equal(writer.write(encode('6')), false);
		const drained = writer.drained();
		await reader.next();
		await drained;
		assert.equal(writer.write(encode('7')), true);
	});

	it('reports a running answer without a reader as abandoned, once', () => {
		const runs = createRunTable({abandonAfterMs: 10});
		let abandoned = 0;
		runs.start({
			...run, onAbandoned() {
				abandoned++;
			},
		}, 0);
		const reader = runs.join(run, 5)._unsafeUnwrap();
		runs.sweep(100);
		assert.equal(abandoned, 0);
		reader.close(100);
		runs.sweep(110);
		assert.equal(abandoned, 0);
		runs.sweep(111);
		runs.sweep(200);
		assert.equal(abandoned, 1);
	});

	it('drops the oldest ended answers beyond the maximum size and answers beyond their age, and keeps tombstones', () => {
		const runs = createRunTable({maxKeptBytes: 5, answerRetentionMs: 10, tombstoneRetentionMs: 20});
		for (const name of ['a', 'b']) {
			const writer = runs.start({...run, key: name}, 0)._unsafeUnwrap();
			writer.write(encode('123'));
			writer.end('complete', 0);
		}

		assert.equal(runs.join({...run, key: 'a'}, 0)._unsafeUnwrapErr(), 'not-kept');
		assert.equal(runs.stats().keptBytes, 3);
		runs.sweep(11);
		assert.equal(runs.join({...run, key: 'b'}, 11)._unsafeUnwrapErr(), 'not-kept');
		assert.deepEqual(runs.stats(), {runs: 2, keptBytes: 0});
		runs.sweep(21);
		assert.equal(runs.join({...run, key: 'b'}, 21)._unsafeUnwrapErr(), 'unknown');
	});

	it('goes on delivering an answer beyond the maximum size to its reader, and lets no other reader join', async () => {
		const runs = createRunTable({maxRunBytes: 4});
		const writer = runs.start(run, 0)._unsafeUnwrap();
		const reader = runs.join(run, 0)._unsafeUnwrap();
		writer.write(encode('1234'));
		const first = await reader.next();
		assert.equal(first.kind, 'bytes');
		writer.write(encode('56'));
		assert.equal(runs.join(run, 0)._unsafeUnwrapErr(), 'not-kept');
		writer.end('complete', 0);
		assert.equal(await readAll(reader), '56|complete');
	});

	it('starts no run at the maximum number of runs', () => {
		const runs = createRunTable({maxRuns: 1});
		runs.start(run, 0);
		assert.equal(runs.start({...run, key: 'b'}, 0)._unsafeUnwrapErr(), 'full');
	});
});
