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
	it('refuses requests for a pool without capacity, and admits them once there is some', () => {
		const admission = createAdmission();
		const refusal = admission.offer(request('a'), 0);
		assert.equal(refusal.kind === 'refused' && refusal.reason, 'no-capacity');
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		assert.equal(admission.offer(request('a'), 0).kind, 'admitted');
	});

	it('admits while there are places, then queues, and admits the next one when a place is freed', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 4, share: 0.5}, 0);
		assert.deepEqual(['a', 'b', 'c', 'd'].map(id => admission.offer(request(id), 0)), [
			{kind: 'admitted'}, {kind: 'admitted'}, {kind: 'queued', position: 0}, {kind: 'queued', position: 1},
		]);
		assert.deepEqual(admission.cancel('c', 1), []);
		assert.deepEqual(admission.finish('a', 2, {outcome: 'completed'}), ['d']);
		assert.deepEqual(admission.finish('a', 3, {outcome: 'completed'}), [], 'a second finish frees nothing');
	});

	it('refuses the queued requests of a removed pool with the next tick, and removes the pool when none of its requests runs', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('a'), 0);
		admission.offer(request('b'), 0);
		admission.keepPools(new Set(), 1);
		assert.deepEqual(admission.tick(2).refused.map(({id, reason}) => [id, reason]), [['b', 'no-capacity']]);
		assert.equal(admission.status(2).length, 1, 'a still runs');
		admission.finish('a', 3, {outcome: 'completed'});
		admission.keepPools(new Set(), 4);
		assert.equal(admission.status(4).length, 0);
	});

	it('admits quick requests before batch requests', () => {
		const admission = createAdmission({batchShare: 0});
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('running'), 0);
		admission.offer(request('batch'), 0);
		admission.offer(quick('quick'), 0);
		assert.deepEqual(admission.finish('running', 1, {outcome: 'completed'}), ['quick']);
	});

	for (const places of [1, 2, 5, 40]) {
		it(`admits batch requests under endless quick requests with ${places} places`, () => {
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

			assert.ok(running.includes('batch'), 'the batch request starved');
		});
	}

	it('reserves places for quick requests by their recent rate, and releases them when quick requests stop', () => {
		const admission = createAdmission({slackDeviations: 0});
		admission.setCapacity('p', {slots: 6, share: 1}, 0);
		for (let now = 0; now < 20_000; now += 50) {
			admission.offer(quick(`q${now}`, {deadline: 1e9, firstTokenDeadline: 1e9}), now);
			admission.finish(`q${now - 100}`, now, {outcome: 'completed'});
		}

		const offered = Array.from({length: 6}, (_, index) => `b${index}`);
		const kinds = offered.map(id => admission.offer(request(id), 20_000).kind);
		assert.equal(kinds.filter(kind => kind === 'admitted').length, 4, 'quick requests hold two of six places on average');
		assert.equal(admission.offer(quick('next', {deadline: 1e9, firstTokenDeadline: 1e9}), 20_000).kind, 'queued', 'the two reserved places are already in use');
		assert.deepEqual(admission.finish('q19950', 20_001, {outcome: 'completed'}), ['next']);
		admission.finish('q19900', 20_002, {outcome: 'completed'});
		admission.finish('next', 20_002, {outcome: 'completed'});
		assert.deepEqual(admission.tick(60_000).admitted, ['b4', 'b5']);
	});

	it('keeps most of the reserve for quick requests through a random lull, so that batch requests don\'t fill it', () => {
		const admission = createAdmission({slackDeviations: 0});
		admission.setCapacity('p', {slots: 20, share: 1}, 0);
		for (let now = 0; now < 60_000; now += 500) {
			admission.offer(quick(`q${now}`, {deadline: 1e9, firstTokenDeadline: 1e9}), now);
			admission.finish(`q${now - 1000}`, now, {outcome: 'completed'});
		}

		const [before, after] = [59_500, 61_500].map(now => admission.status(now)[0]!.reserved) as [number, number];
		assert.ok(before > 1.5, `${before} places reserved for the two that quick requests occupy`);
		assert.ok(after > before / 2, `${after} of ${before} places reserved after a lull of 2 s`);
	});

	it('refuses at once a request that the predicted wait would make late, with a retry delay', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('a'), 0);
		admission.finish('a', 4000, {outcome: 'completed'});
		admission.offer(request('b'), 4000);
		assert.deepEqual(admission.offer(request('c', {deadline: 9000, firstTokenDeadline: 9000}), 4000), {kind: 'refused', reason: 'too-late', retryAfterMs: 4000});
		assert.equal(admission.offer(request('d', {deadline: 13_000, firstTokenDeadline: 13_000}), 4000).kind, 'queued');
		assert.deepEqual(admission.tick(10_000).refused.map(each => [each.id, each.reason]), [['d', 'too-late']]);
	});

	it('gives callers that are refused together successive retry delays, at the rate at which the pool drains', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('a'), 0);
		admission.finish('a', 2000, {outcome: 'completed'});
		admission.offer(request('b'), 2000);
		const delays = ['c', 'd', 'e'].map(id => {
			const answer = admission.offer(request(id, {queueLimit: 0}), 2000);
			return answer.kind === 'refused' ? answer.retryAfterMs : undefined;
		});
		assert.deepEqual(delays, [2000, 4000, 6000]);
	});

	it('refuses a request whose deadline has passed, and a duplicate id', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 9, share: 1}, 0);
		const late = admission.offer(request('a', {deadline: 5}), 5);
		assert.equal(late.kind === 'refused' && late.reason, 'too-late');
		admission.offer(request('b'), 5);
		const twice = admission.offer(request('b'), 6);
		assert.equal(twice.kind === 'refused' && twice.reason, 'duplicate');
	});

	it('leaves room in the queue for others when one workspace sends many requests', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 1, share: 1}, 0);
		admission.offer(request('running'), 0);
		const kinds = Array.from({length: 30}, (_, index) => admission.offer(request(`hog${index}`, {queueLimit: 10}), 0).kind);
		assert.equal(kinds.filter(kind => kind === 'queued').length, 5);
		assert.equal(admission.offer(request('other', {workspace: 'other', queueLimit: 10}), 0).kind, 'queued');
		assert.deepEqual(admission.finish('running', 1, {outcome: 'completed'}).length, 1);
	});

	const borrowing = [
		{
			name: 'uses only its own places while the pool is full', class: 'batch' as const, used: 40, admitted: 10,
		},
		{
			name: 'lets batch requests borrow their share of the free places', class: 'batch' as const, used: 20, admitted: 15,
		},
		{
			name: 'lets quick requests use all free places', class: 'quick' as const, used: 20, admitted: 20,
		},
	];
	for (const each of borrowing) {
		it(each.name, () => {
			const admission = createAdmission();
			admission.setCapacity('p', {slots: 40, share: 0.25, used: each.used}, 0);
			const kinds = Array.from({length: 30}, (_, index) => admission.offer(request(`r${index}`, {class: each.class}), 0).kind);
			assert.equal(kinds.filter(kind => kind === 'admitted').length, each.admitted);
		});
	}

	it('does not borrow more when the same report is repeated', () => {
		const admission = createAdmission();
		for (let now = 0; now < 50; now++) {
			admission.setCapacity('p', {slots: 40, share: 0.25, used: 20}, now);
		}

		const kinds = Array.from({length: 30}, (_, index) => admission.offer(request(`r${index}`), 50).kind);
		assert.equal(kinds.filter(kind => kind === 'admitted').length, 15);
	});

	it('admits one request at a time after the servers bounced a request, and as before after the next report', () => {
		const admission = createAdmission();
		admission.setCapacity('p', {slots: 8, share: 0.5}, 0);
		for (const id of ['a', 'b', 'c', 'd']) {
			admission.offer(quick(id), 0);
		}

		admission.finish('c', 1, {outcome: 'bounced'});
		admission.finish('d', 1, {outcome: 'bounced'});
		assert.deepEqual(['c', 'd', 'e'].map(id => admission.offer(quick(id), 1).kind), ['queued', 'queued', 'queued']);
		assert.deepEqual(admission.tick(50).admitted, ['c']);
		assert.deepEqual(admission.setCapacity('p', {slots: 8, share: 0.5}, 60), ['d']);
	});

	it('does not reserve more places for quick requests when the servers bounce them', () => {
		const reserved = [false, true].map(isBounced => {
			const admission = createAdmission();
			admission.setCapacity('p', {slots: 40, share: 1}, 0);
			for (let now = 0; now < 20_000; now += 50) {
				admission.offer(quick(`q${now}`, {deadline: 1e9, firstTokenDeadline: 1e9}), now);
				if (isBounced) {
					admission.finish(`q${now}`, now, {outcome: 'bounced'});
					admission.offer(quick(`q${now}`, {deadline: 1e9, firstTokenDeadline: 1e9}), now);
					admission.tick(now);
				}

				admission.finish(`q${now - 100}`, now, {outcome: 'completed'});
			}

			return admission.status(20_000)[0]!.reserved;
		});
		assert.ok(Math.abs(reserved[0]! - reserved[1]!) < 0.5, `${reserved.join(' and ')} places`);
	});

	it('tracks running and queued requests exactly, loses none, and keeps within the queue limit (property)', () => {
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
					assert.ok(waiting.delete(id), 'admitted a request that was not queued');
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
						assert.ok(refused.every(({id}) => waiting.delete(id)), 'refused a request that was not queued');
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
