import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {v7} from 'uuid';
import {
	type ClaimRequest, type ClaimWitnessOptions, createClaimWitness,
} from './index.js';

const startedAt = 1_000_000;
const clockBoundMs = 300;
const retentionMs = 1000;
const fresh = startedAt + clockBoundMs + 1;

function create(options: Partial<ClaimWitnessOptions> = {}) {
	return createClaimWitness({
		slot: 'dvorana-a-1', incarnation: 5, startedAt, clockBoundMs, retentionMs, ...options,
	});
}

function toRequest(mintedAt: number, extra: Partial<ClaimRequest> = {}): ClaimRequest {
	return {
		workspace: 'glossworks',
		key: v7({msecs: mintedAt, seq: 1, random: new Uint8Array(16)}),
		claimId: 'claim-1',
		claimant: {host: 'dvorana-b-1', incarnation: 1, address: '127.0.0.1:1'},
		digest: 'digest',
		isRepeatable: false,
		...extra,
	};
}

describe('createClaimWitness', () => {
	it('grants a key to one claim, and again only to the same claim', () => {
		const witness = create();
		assert.equal(witness.claim(toRequest(fresh), fresh).kind, 'granted');
		assert.equal(witness.claim(toRequest(fresh), fresh).kind, 'granted');
		const second = witness.claim(toRequest(fresh, {claimId: 'claim-2'}), fresh);
		assert.ok(second.kind === 'held' && second.claim.claimId === 'claim-1');
		assert.equal(witness.claim(toRequest(fresh, {claimId: 'claim-2', workspace: 'naslovnik'}), fresh).kind, 'granted');
	});

	const ages = [
		{
			name: 'minted before its start', mintedAt: startedAt - 1, now: startedAt, reason: 'restarted', retryAfterMs: 301,
		},
		{
			name: 'minted within the clock bound of its start', mintedAt: startedAt + clockBoundMs, now: startedAt + 400, reason: 'restarted', retryAfterMs: 1,
		},
		{
			name: 'further ahead than clocks may differ', mintedAt: fresh + 301, now: fresh, reason: 'future', retryAfterMs: 1,
		},
		{
			name: 'older than claims are kept', mintedAt: fresh, now: fresh + retentionMs + 1, reason: 'expired', retryAfterMs: undefined,
		},
	];
	for (const {
		name, mintedAt, now, reason, retryAfterMs,
	} of ages) {
		it(`abstains on a key ${name}`, () => {
			assert.deepEqual(create().claim(toRequest(mintedAt), now), {
				kind: 'abstained', incarnation: 5, reason, retryAfterMs,
			});
		});
	}

	it('abstains on a key that is not a UUID of version 7', () => {
		const answer = create().claim({...toRequest(fresh), key: 'order-17'}, fresh);
		assert.ok(answer.kind === 'abstained' && answer.reason === 'malformed');
	});

	it('refuses a key whose claim has expired for good, also when its clock is set back', () => {
		const witness = create();
		witness.claim(toRequest(fresh), fresh);
		witness.sweep(fresh + retentionMs + 1);
		assert.equal(witness.stats().claims, 0);
		const answer = witness.claim(toRequest(fresh, {claimId: 'claim-2'}), fresh);
		assert.ok(answer.kind === 'abstained' && answer.reason === 'expired');
	});

	it('abstains when full and drops no claim', () => {
		const witness = create({maxClaims: 1});
		witness.claim(toRequest(fresh), fresh);
		const answer = witness.claim(toRequest(fresh + 1), fresh);
		assert.ok(answer.kind === 'abstained' && answer.reason === 'full');
		assert.equal(witness.claim(toRequest(fresh), fresh).kind, 'granted');
	});

	it('frees a key for another claim when its own claim is released, and ignores other releases', () => {
		const witness = create();
		const req = toRequest(fresh);
		witness.claim(req, fresh);
		witness.release({...req, claimId: 'claim-0'});
		assert.equal(witness.claim({...req, claimId: 'claim-2'}, fresh).kind, 'held');
		witness.release(req);
		assert.equal(witness.claim({...req, claimId: 'claim-2'}, fresh).kind, 'granted');
	});

	it('lets only claims of repeatable work be taken over, and only by a request that names the replaced claim', () => {
		for (const isRepeatable of [true, false]) {
			const witness = create();
			witness.claim(toRequest(fresh, {isRepeatable}), fresh);
			const takeOver = toRequest(fresh, {isRepeatable, claimId: 'claim-2', replaces: 'claim-1'});
			assert.equal(witness.claim({...takeOver, replaces: 'claim-0'}, fresh).kind, 'held');
			assert.equal(witness.claim(takeOver, fresh).kind, isRepeatable ? 'granted' : 'held');
		}
	});

	it('stops granting once frozen, and still reports which claim holds a key', () => {
		const frozen = create();
		frozen.claim(toRequest(fresh), fresh);
		assert.equal(frozen.freeze(fresh)?.claims.length, 1);
		assert.equal(frozen.freeze(fresh), undefined);
		const answer = frozen.claim(toRequest(fresh + 1), fresh);
		assert.ok(answer.kind === 'abstained' && answer.reason === 'leaving');
		assert.equal(frozen.claim(toRequest(fresh, {claimId: 'claim-2'}), fresh).kind, 'held');
	});

	it('continues with the claims, the start and the floor of its predecessor', () => {
		const old = create();
		old.claim(toRequest(fresh), fresh);
		const handOver = old.freeze(fresh + 100)!;
		const successor = create({incarnation: 6, startedAt: fresh + 200});
		assert.equal(successor.adopt(handOver), true);
		assert.equal(successor.claim(toRequest(fresh, {claimId: 'claim-2'}), fresh + 200).kind, 'held');
		assert.equal(successor.claim(toRequest(fresh + 1, {claimId: 'claim-2'}), fresh + 200).kind, 'granted');
	});

	it('adopts nothing of another slot, of itself or after it froze', () => {
		const handOver = create().freeze(fresh)!;
		assert.equal(create({slot: 'dvorana-a-2', incarnation: 6}).adopt(handOver), false);
		assert.equal(create().adopt(handOver), false);
		const frozen = create({incarnation: 6});
		frozen.freeze(fresh);
		assert.equal(frozen.adopt(handOver), false);
	});
});
