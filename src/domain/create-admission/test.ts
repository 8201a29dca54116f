import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createAdmission, type AdmissionRequest} from './index.js';

const request = (id: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
	id,
	pool: 'p',
	class: 'batch',
	workspace: 'w',
	deadline: 100_000,
	firstTokenDeadline: 100_000,
	promptTokens: 100,
	maxTokens: 100,
	queueLimit: 50,
	...changes,
});

const quick = (id: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest => request(id, {class: 'quick', ...changes});

describe('createAdmission', () => {
	it('refuses what goes to a pool without capacity, and takes it once there is some', () => {
		const admission = createAdmission();
		const refusal = admission.offer(request('a'), 0);
		assert.equal(refusal.kind === 'refused' && refusal.reason, 'no-capacity');
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		assert.equal(admission.offer(request('a'), 0).kind, 'admitted');
	});

	it('admits while there are places, then queues, and admits the next one when a place is freed', () => {
		const admission = createAdmission({slackShare: 0});
		admission.setCapacity('p', {slots: 4, share: 0.5}, 0);
		assert.deepEqual(['a', 'b', 'c', 'd'].map(id => admission.offer(request(id), 0)), [
			{kind: 'admitted'}, {kind: 'admitted'}, {kind: 'queued', position: 0}, {kind: 'queued', position: 1},
		]);
		assert.deepEqual(admission.cancel('c', 1), []);
		assert.deepEqual(admission.finish('a', 2, {outcome: 'completed'}), ['d']);
		assert.deepEqual(admission.finish('a', 3, {outcome: 'completed'}), [], 'a second end frees nothing');
	});

	it('serves quick work before batch work', () => {
		const admission = createAdmission({slackShare: 0, batchShare: 0});
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('running'), 0);
		admission.offer(request('batch'), 0);
		admission.offer(quick('quick'), 0);
		assert.deepEqual(admission.finish('running', 1, {outcome: 'completed'}), ['quick']);
	});

	for (const places of [1, 2, 5, 40]) {
		it(`lets batch work through under endless quick work with ${places} places`, () => {
			const admission = createAdmission();
			admission.setCapacity('p', {slots: places, share: 1}, 0);
			const running: string[] = [];
			let next = 0;
			const offerQuick = (now: number): void => {
				const id = `q${next++}`;
				if (admission.offer(quick(id, {deadline: 1e9, firstTokenDeadline: 1e9}), now).kind === 'admitted') {
					running.push(id);
				}
			};

			for (let i = 0; i < 2 * places; i++) {
				offerQuick(0);
			}

			admission.offer(request('batch', {deadline: 1e9, firstTokenDeadline: 1e9}), 0);
			let rounds = 0;
			while (!running.includes('batch') && rounds++ < 20) {
				running.push(...admission.finish(running.shift()!, rounds, {outcome: 'completed'}));
				offerQuick(rounds);
			}

			assert.ok(running.includes('batch'), 'batch work starved');
		});
	}

	it('keeps places free for as much quick work as there was a moment ago, and gives them back', () => {
		const admission = createAdmission({slackShare: 0.5, slackWindowMs: 1000});
		admission.setCapacity('p', {slots: 4, share: 1}, 0);
		admission.offer(quick('q1'), 0);
		admission.offer(quick('q2'), 0);
		admission.finish('q1', 10, {outcome: 'completed'});
		admission.finish('q2', 10, {outcome: 'completed'});
		const kinds = ['b1', 'b2', 'b3'].map(id => admission.offer(request(id), 20).kind);
		assert.deepEqual(kinds, ['admitted', 'admitted', 'queued']);
		assert.equal(admission.offer(quick('q3'), 30).kind, 'admitted');
		admission.finish('q3', 40, {outcome: 'completed'});
		assert.deepEqual(admission.tick(5000).admitted, ['b3']);
	});

	it('refuses at once what the predicted wait makes late, with the time to come back', () => {
		const admission = createAdmission({slackShare: 0});
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('a'), 0);
		admission.finish('a', 4000, {outcome: 'completed'});
		admission.offer(request('b'), 4000);
		assert.deepEqual(admission.offer(request('c', {deadline: 9000, firstTokenDeadline: 9000}), 4000), {kind: 'refused', reason: 'too-late', retryAfterMs: 4000});
		assert.equal(admission.offer(request('d', {deadline: 13_000, firstTokenDeadline: 13_000}), 4000).kind, 'queued');
		assert.deepEqual(admission.tick(10_000).refused.map(each => [each.id, each.reason]), [['d', 'too-late']]);
	});

	it('refuses a deadline that has passed and an id that is already here', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 9, share: 1}, 0);
		const late = admission.offer(request('a', {deadline: 5}), 5);
		assert.equal(late.kind === 'refused' && late.reason, 'too-late');
		admission.offer(request('b'), 5);
		const twice = admission.offer(request('b'), 6);
		assert.equal(twice.kind === 'refused' && twice.reason, 'duplicate');
	});

	it('leaves room in a queue that one workspace fills', () => {
		const admission = createAdmission({slackShare: 0});
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('running'), 0);
		const kinds = Array.from({length: 30}, (_, index) => admission.offer(request(`hog${index}`, {queueLimit: 10}), 0).kind);
		assert.equal(kinds.filter(kind => kind === 'queued').length, 9);
		assert.equal(admission.offer(request('other', {workspace: 'other', queueLimit: 10}), 0).kind, 'queued');
		assert.deepEqual(admission.finish('running', 1, {outcome: 'completed'}).length, 1);
	});

	it('borrows what is reported free, and stops when the servers bounce a request', () => {
		const admission = createAdmission({slackShare: 0, borrowShare: 1});
		admission.setCapacity('p', {slots: 40, share: 0.25, used: 0}, 0);
		const kinds = Array.from({length: 12}, (_, index) => admission.offer(request(`r${index}`), 0).kind);
		assert.equal(kinds.filter(kind => kind === 'admitted').length, 10);
		assert.deepEqual(admission.setCapacity('p', {slots: 40, share: 0.25, used: 12}, 1), ['r10', 'r11']);
		admission.finish('r11', 2, {outcome: 'bounced'});
		assert.equal(admission.offer(request('r11'), 2).kind, 'queued');
	});

	it('never has more running than places, loses none, and holds no state at the end', () => {
		const step = fc.record({
			kind: fc.constantFrom('offer', 'offer', 'offer', 'finish', 'cancel', 'tick', 'capacity'),
			pick: fc.nat(50),
			class: fc.constantFrom('quick' as const, 'batch' as const),
			workspace: fc.constantFrom('a', 'b', 'c'),
			patience: fc.integer({min: 1, max: 400}),
			elapsed: fc.nat(20),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
			const admission = createAdmission();
			admission.setCapacity('p', {slots: 3, share: 1}, 0);
			const running = new Set<string>();
			const waiting = new Set<string>();
			const admit = (ids: readonly string[]): void => {
				for (const id of ids) {
					assert.ok(waiting.delete(id), 'admitted what did not wait');
					running.add(id);
				}
			};

			let now = 0;
			for (const [index, each] of steps.entries()) {
				now += each.elapsed;
				const all = [...running, ...waiting];
				const picked = all[each.pick % Math.max(1, all.length)] ?? '';
				switch (each.kind) {
					case 'offer': {
						const id = `r${index}`;
						const due = now + each.patience;
						const answer = admission.offer(request(id, {
							class: each.class, workspace: each.workspace, deadline: due, firstTokenDeadline: due, queueLimit: 5,
						}), now);
						if (answer.kind !== 'refused') {
							(answer.kind === 'admitted' ? running : waiting).add(id);
						}

						break;
					}

					case 'finish':
					case 'cancel': {
						const isRunning = running.delete(picked);
						waiting.delete(picked);
						admit(isRunning && each.kind === 'finish' ? admission.finish(picked, now, {outcome: 'completed'}) : admission.cancel(picked, now));
						break;
					}

					case 'tick': {
						const {admitted, refused} = admission.tick(now);
						admit(admitted);
						assert.ok(refused.every(({id}) => waiting.delete(id)), 'refused what did not wait');
						break;
					}

					case 'capacity': {
						admit(admission.setCapacity('p', {slots: 1 + (each.pick % 4), share: 1}, now));
						break;
					}
				}

				const [status] = admission.status(now);
				assert.equal(status!.running.quick + status!.running.batch, running.size);
				assert.equal(status!.waiting.quick + status!.waiting.batch, waiting.size);
				assert.ok(status!.waiting.quick <= 5 && status!.waiting.batch <= 5);
			}
		}));
	});
});
