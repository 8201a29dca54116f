/** A model of hosts that claim and witness keys while they crash, pause, are replaced and cut off, on a logical clock. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {v7} from 'uuid';
import {type HostEntry} from '../../../ports/config.js';
import {
	type ClaimRequest, type ClaimWitness, type WitnessHandOver, type WitnessSafeguard, createClaimWitness,
} from '../../create-claim-witness/index.js';
import {type WitnessSet, pickWitnesses} from '../../pick-witnesses/index.js';
import {type ClaimAnswers, tallyClaims} from '../../tally-claims/index.js';

const second = 1000;
const clockErrorMs = 120 * second;
const steps = [1, 30, 130, 310, 650, 1300].map(seconds => seconds * second);

export type Scope = {
	zones: number;
	/** Overrides the quorum, to show that a smaller one fails. */
	quorum?: number;
	/** Number of slots whose old incarnation may run on after its replacement. */
	twins: number;
	listChanges: number;
	omit: readonly WitnessSafeguard[];
	/** Whether a hand-over is adopted by one successor only. */
	isTakenOnce: boolean;
	/** Whether a claimant never dispatches a claim that it has released. */
	keepsRelease: boolean;
};

type Incarnation = {
	witness: ClaimWitness;
	slot: string;
	offset: number;
	side: number;
};

type Attempt = {
	request: ClaimRequest;
	sets: WitnessSet[];
	side: number;
	answers: Map<string, ClaimAnswers extends ReadonlyMap<string, infer V> ? V : never>;
	state: 'claiming' | 'dispatched' | 'released';
};

export type Step = {op: string; pick: number; bits: number; clock: number};

const weights = {
	claim: 8, deliver: 6, dispatch: 6, giveUp: 3, release: 3, crash: 4, replace: 3, leave: 3, take: 3, cut: 3, heal: 2, advance: 4, newKey: 2, changeList: 1,
};
export const step: fc.Arbitrary<Step> = fc.record({
	op: fc.constantFrom(...Object.entries(weights).flatMap(([op, weight]) => Array.from({length: weight}, () => op))),
	pick: fc.nat({max: 59}),
	bits: fc.nat({max: 1023}),
	clock: fc.constantFrom(-clockErrorMs, 0, clockErrorMs),
});

function isBitSet(bits: number, bit: number): boolean {
	return Math.floor(bits / (2 ** bit)) % 2 === 1;
}

/**
 * Creates claimants and witnesses in one process. The steps of a search drive
 * their clocks, links, crashes and restarts.
 *
 * @param scope - The faults that may happen, and the safeguards that are disabled.
 * @param onDispatch - Called for each dispatch, so that a search can show that it reached some.
 * @returns A function that applies one step; it throws when a guarantee is broken.
 */
export function createFleet(scope: Scope, onDispatch: () => void) {
	const {omit} = scope;
	let now = 1_700_000_000_000;
	let nextIncarnation = 1;
	let twins = 0;
	let lists: HostEntry[][] = [Array.from({length: scope.zones}, (_, i) => ({id: `host-${i}`, zone: `zone-${i}`}))];
	const alive: Incarnation[] = [];
	const attempts: Attempt[] = [];
	const keys: string[] = [];
	const dispatches = new Map<string, number>();
	const handOvers: WitnessHandOver[] = [];

	function start(slot: string, clock: number, side: number): Incarnation {
		const witness = createClaimWitness({
			slot, incarnation: nextIncarnation++, startedAt: now + clock, omit,
		});
		const started = {
			witness, slot, offset: clock, side,
		};
		alive.push(started);
		return started;
	}

	function mint(clock: number) {
		keys.push(v7({msecs: now + clock, seq: keys.length, random: Uint8Array.from({length: 16}, () => keys.length)}));
	}

	function ask(attempt: Attempt, slot: string, isOldPreferred: boolean) {
		const reachable = alive.filter(found => found.slot === slot && found.side === attempt.side);
		const found = isOldPreferred ? reachable[0] : reachable.at(-1);
		if (found !== undefined) {
			found.witness.sweep(now + found.offset);
			attempt.answers.set(slot, found.witness.claim(attempt.request, now + found.offset));
		}
	}

	function claim({pick, bits}: Step) {
		const key = keys[Math.max(0, keys.length - 1 - (pick % 7 === 0 ? 1 : 0))]!;
		const list = lists[bits % lists.length]!;
		const set = pickWitnesses(key, list, {maskedSlots: scope.twins + scope.listChanges});
		const attempt: Attempt = {
			request: {
				workspace: 'w', key, claimId: `claim-${attempts.length}`, claimant: {host: 'any', incarnation: 1, address: ''}, digest: 'd', isRepeatable: false,
			},
			sets: [{...set, quorum: scope.quorum ?? set.quorum}],
			side: pick % 2,
			answers: new Map(),
			state: 'claiming',
		};
		attempts.push(attempt);
		for (const [i, slot] of set.slots.entries()) {
			if (isBitSet(bits, 9) || isBitSet(bits, i + 1)) {
				ask(attempt, slot, pick % 3 === 0);
			}
		}
	}

	function canDispatch(attempt: Attempt): boolean {
		const isOpen = attempt.state === 'claiming' || (attempt.state === 'released' && !scope.keepsRelease);
		return isOpen && tallyClaims(attempt.sets, attempt.answers, 'd').kind === 'granted';
	}

	function dispatch({pick}: Step) {
		const ready = attempts.filter(attempt => canDispatch(attempt));
		const attempt = ready[pick % Math.max(1, ready.length)];
		if (attempt !== undefined) {
			attempt.state = 'dispatched';
			const runs = (dispatches.get(attempt.request.key) ?? 0) + 1;
			dispatches.set(attempt.request.key, runs);
			onDispatch();
			assert.equal(runs, 1, 'dispatched twice');
		}
	}

	function giveUp({pick}: Step) {
		const open = attempts.filter(attempt => attempt.state === 'claiming');
		const attempt = open[pick % Math.max(1, open.length)];
		if (attempt !== undefined) {
			const saysNotRun = tallyClaims(attempt.sets, attempt.answers, 'd').kind === 'granted';
			assert.ok(!saysNotRun || !dispatches.has(attempt.request.key), 'said "not run" of work that was dispatched');
			attempt.state = 'released';
		}
	}

	function release({pick, bits}: Step) {
		const given = attempts.filter(attempt => attempt.state === 'released');
		const attempt = given[pick % Math.max(1, given.length)];
		for (const [i, found] of alive.entries()) {
			if (attempt !== undefined && isBitSet(bits, i)) {
				found.witness.release(attempt.request);
			}
		}
	}

	function crash({pick, clock}: Step) {
		const found = alive[pick % alive.length]!;
		alive.splice(alive.indexOf(found), 1);
		if (alive.some(other => other.slot === found.slot)) {
			twins--;
		} else {
			start(found.slot, clock, found.side);
		}
	}

	function replace({pick, clock, bits}: Step) {
		const found = alive[pick % alive.length]!;
		if (twins < scope.twins && !alive.some(other => other !== found && other.slot === found.slot)) {
			twins++;
			start(found.slot, clock, bits % 2);
		}
	}

	// A process that has handed its table over may still run and answer late.
	function leave({pick}: Step) {
		const found = alive[pick % alive.length]!;
		const handOver = found.witness.freeze(now + found.offset);
		if (handOver !== undefined) {
			handOvers.push(handOver);
		}
	}

	function take({pick, clock, bits}: Step) {
		const handOver = handOvers[pick % Math.max(1, handOvers.length)];
		if (handOver === undefined) {
			return;
		}

		const old = alive.filter(found => found.slot === handOver.slot);
		// A leaving process may be asked after its successor has started: it abstains then.
		const isOnlyOne = old.length === 1 && !old[0]!.witness.stats().isVouching;
		if (scope.isTakenOnce && !isOnlyOne) {
			return;
		}

		const successor = start(handOver.slot, clock, bits % 2);
		successor.witness.adopt(handOver);
		if (scope.isTakenOnce) {
			handOvers.splice(handOvers.indexOf(handOver), 1);
		}
	}

	const operations: Record<string, (step: Step) => void> = {
		claim,
		dispatch,
		giveUp,
		release,
		crash,
		replace,
		leave,
		take,
		deliver({pick, bits}) {
			const attempt = attempts.at(-1 - (pick % 3));
			const slots = attempt?.sets[0]?.slots ?? [];
			if (attempt !== undefined && slots.length > 0) {
				ask(attempt, slots[bits % slots.length]!, pick % 2 === 0);
			}
		},
		cut({bits}) {
			for (const [i, found] of alive.entries()) {
				found.side = isBitSet(bits, i) ? 1 : 0;
			}
		},
		heal({pick}) {
			for (const found of alive) {
				found.side = pick % 2;
			}
		},
		advance({pick}) {
			now += steps[pick % steps.length]!;
		},
		newKey({clock}) {
			mint(clock);
		},
		changeList({pick}) {
			if (lists.length <= scope.listChanges) {
				const next = lists.at(-1)!.with(pick % scope.zones, {id: `host-new-${lists.length}`, zone: `zone-${pick % scope.zones}`});
				lists = [...lists, next];
			}
		},
	};

	for (const host of lists[0]!) {
		start(host.id, 0, 0);
	}

	for (let i = 1; i <= scope.listChanges; i++) {
		start(`host-new-${i}`, 0, i % 2);
	}

	now += 700 * second;
	mint(0);
	return (step: Step) => {
		operations[step.op]!(step);
	};
}
