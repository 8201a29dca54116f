import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	type Result, ResultAsync, errAsync, okAsync,
} from 'neverthrow';
import {v7} from 'uuid';
import {type ClaimRequest, createClaimWitness} from '../create-claim-witness/index.js';
import {pickWitnesses} from '../pick-witnesses/index.js';
import {
	type ClaimGrant, type ClaimKeyOptions, type ClaimRefusal, claimKey,
} from './index.js';

const now = 1_700_000_000_000;
const hosts = Array.from({length: 9}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % 3}`}));

function toRequest(claimId: string, extra: Partial<ClaimRequest> = {}): ClaimRequest {
	return {
		workspace: 'glossworks',
		key: v7({msecs: now, seq: 1, random: new Uint8Array(16)}),
		claimId,
		claimant: {host: 'hall-derwent-1', incarnation: 1, address: '127.0.0.1:1'},
		digest: 'digest',
		isRepeatable: false,
		...extra,
	};
}

type Claimed = Promise<Result<ClaimGrant, ClaimRefusal>>;

async function unwrap(claimed: Claimed): Promise<ClaimGrant> {
	const result = await claimed;
	return result._unsafeUnwrap();
}

async function unwrapError(claimed: Claimed): Promise<ClaimRefusal> {
	const result = await claimed;
	return result._unsafeUnwrapErr();
}

async function isGranted(claimed: Claimed): Promise<boolean> {
	const grant = await unwrap(claimed);
	return grant.kind === 'granted';
}

function createFleet() {
	const witnesses = new Map(hosts.map(host => [host.id, createClaimWitness({slot: host.id, incarnation: 3, startedAt: now - 3_600_000})]));
	const away = new Set<string>();
	const restart = (slot: string) => {
		witnesses.set(slot, createClaimWitness({slot, incarnation: 4, startedAt: now}));
	};

	const claim = async (request: ClaimRequest, extra: Partial<ClaimKeyOptions> = {}) => claimKey({
		request,
		sets: [pickWitnesses('key', hosts)],
		ask: (slot, asked) => away.has(slot) ? errAsync({message: 'no route'}) : okAsync(witnesses.get(slot)!.claim(asked, now)),
		release(slot, released) {
			if (!away.has(slot)) {
				witnesses.get(slot)!.release(released);
			}
		},
		wait: async () => undefined,
		random: () => 0.5,
		...extra,
	});
	return {claim, away, restart};
}

describe('claimKey', () => {
	it('grants the first claim, joins the second to it, and reports a key that is reused with another body', async () => {
		const {claim} = createFleet();
		assert.deepEqual(await unwrap(claim(toRequest('a'))), {kind: 'granted', isWitnessed: true});
		const second = await unwrap(claim(toRequest('b')));
		assert.ok(second.kind === 'joined' && second.claim.claimId === 'a');
		const misused = await claim(toRequest('c', {digest: 'other'}));
		assert.equal(misused._unsafeUnwrapErr().kind, 'conflict');
	});

	it('grants while a zone is unreachable, and refuses as may-have-run with one host more', async () => {
		const {claim, away} = createFleet();
		for (const host of hosts.filter(({zone}) => zone === 'zone-0')) {
			away.add(host.id);
		}

		assert.ok(await isGranted(claim(toRequest('a'))));
		away.add(pickWitnesses('key', hosts).slots.find(slot => !away.has(slot))!);
		const refused = await unwrapError(claim(toRequest('b', {workspace: 'other'})));
		assert.ok(refused.kind === 'refused' && refused.outcome === 'may-have-run');
		assert.match(refused.message, /3 of 6 could not be asked/v);
		away.clear();
		assert.ok(await isGranted(claim(toRequest('c', {workspace: 'other'}))));
	});

	it('runs repeatable work without a quorum, unwitnessed', async () => {
		const {claim, away} = createFleet();
		for (const host of hosts) {
			away.add(host.id);
		}

		assert.deepEqual(await unwrap(claim(toRequest('a', {isRepeatable: true}))), {kind: 'granted', isWitnessed: false});
	});

	it('asks the caller for a new key when restarted witnesses abstain on this one', async () => {
		const {claim, restart} = createFleet();
		for (const slot of pickWitnesses('key', hosts).slots.slice(0, 3)) {
			restart(slot);
		}

		const refused = await unwrapError(claim(toRequest('a')));
		assert.ok(refused.kind === 'refused' && refused.retryAfterMs === 241_001);
		assert.match(refused.message, /new key/v);
	});

	it('grants at most one of several concurrent claims, in any order of messages', async () => {
		await fc.assert(fc.asyncProperty(fc.scheduler(), fc.integer({min: 2, max: 4}), async (scheduler, count) => {
			const {claim} = createFleet();
			const witnesses = new Map(hosts.map(host => [host.id, createClaimWitness({slot: host.id, incarnation: 3, startedAt: now - 3_600_000})]));
			const step = async () => scheduler.schedule(Promise.resolve());
			const claimOne = async (_: unknown, i: number) => claim(toRequest(`claim-${i}`), {
				ask: (slot, asked) => ResultAsync.fromSafePromise(step()).map(() => witnesses.get(slot)!.claim(asked, now)),
				async release(slot, released) {
					await step();
					witnesses.get(slot)!.release(released);
				},
				wait: step,
			});
			const claims = Array.from({length: count}, claimOne);
			const results = await scheduler.waitFor(Promise.all(claims));
			const grants = results.filter(result => result.isOk() && result.value.kind === 'granted').length;
			assert.ok(grants <= 1, `${grants} grants`);
		}), {numRuns: 200, seed: 7});
	});
});
