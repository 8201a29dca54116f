import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {knowledgeStates, type CatchUpAnswer} from '../../ports/catch-up.js';
import {createCatchUp, type Answerer, type CaughtUp} from './index.js';

const maxWaitMs = 600;

const whole: CatchUpAnswer = {
	kind: 'answer', id: 1, part: 0, parts: 1, knowledge: 'current',
};

/** Another host, of the zone of the host under test unless stated. */
const toHost = (address: string, zone = 'z'): Answerer => ({address, zone});

function create(peers: readonly string[] = ['a', 'b', 'c']) {
	const asked: string[][] = [];
	const ended: CaughtUp[] = [];
	const catchUp = createCatchUp({
		zone: 'z',
		startedAt: 0,
		toPeers: () => peers,
		ask(_, to) {
			asked.push([...to]);
		},
		onEnd(caughtUp) {
			ended.push(caughtUp);
		},
	});
	return {catchUp, asked, ended};
}

describe('createCatchUp', () => {
	it('waits for nothing before it begins', () => {
		const {catchUp, asked} = create();
		assert.equal(catchUp.isBehind(0), false);
		assert.equal(catchUp.dueAt(), undefined);
		assert.deepEqual(asked, []);
	});

	it('ends once two hosts have told all that they know', () => {
		const {catchUp, ended} = create();
		catchUp.begin('start', 0);
		catchUp.noteAnswer(toHost('a'), whole, 5);
		assert.equal(catchUp.isBehind(5), true);
		catchUp.noteAnswer(toHost('b'), whole, 8);
		assert.equal(catchUp.isBehind(8), false);
		assert.deepEqual(ended, [{
			cause: 'start', tookMs: 8, answers: 2, isOverdue: false,
		}]);
	});

	it('counts an answer once all of its messages have arrived, and asks again for one that is lost', () => {
		const {catchUp, asked} = create(['a']);
		catchUp.begin('start', 0);
		catchUp.noteAnswer(toHost('a'), {...whole, part: 1, parts: 2}, 5);
		catchUp.noteAnswer(toHost('a'), {...whole, part: 1, parts: 2}, 6);
		assert.equal(catchUp.isBehind(6), true);
		catchUp.tick(100);
		assert.deepEqual(asked, [['a'], ['a']]);
		catchUp.noteAnswer(toHost('a'), {...whole, part: 0, parts: 2}, 105);
		assert.equal(catchUp.isBehind(105), false);
	});

	it('is satisfied with one answer where one other host is known, and after a while where there are more', () => {
		const alone = create(['a']).catchUp;
		alone.begin('start', 0);
		alone.noteAnswer(toHost('a'), whole, 5);
		assert.equal(alone.isBehind(5), false);

		const {catchUp} = create();
		catchUp.begin('start', 0);
		catchUp.noteAnswer(toHost('a'), whole, 5);
		catchUp.tick(199);
		assert.equal(catchUp.isBehind(199), true);
		catchUp.tick(200);
		assert.equal(catchUp.isBehind(200), false);
	});

	// Guards against hosts that start at the same moment and take each other's empty memory for all that is known.
	it('learns nothing at a start from hosts that start too', () => {
		const {catchUp, ended} = create();
		catchUp.begin('start', 0);
		for (const from of ['a', 'b', 'c']) {
			catchUp.noteAnswer(toHost(from), {...whole, knowledge: 'starting'}, 5);
		}

		catchUp.tick(maxWaitMs - 1);
		assert.equal(catchUp.isBehind(maxWaitMs - 1), true);
		catchUp.tick(maxWaitMs);
		assert.equal(catchUp.isBehind(maxWaitMs), false);
		assert.equal(ended[0]!.isOverdue, true);
	});

	it('goes on asking one host a second once it serves without an answer, and counts as starting for three seconds', () => {
		const {catchUp, asked, ended} = create();
		catchUp.begin('start', 0);
		for (let now = 100; now <= 3500; now += 100) {
			catchUp.tick(now);
		}

		assert.deepEqual(asked.filter(({length}) => length === 1), [['a'], ['b'], ['c']]);
		assert.equal(catchUp.toKnowledge(2999), 'starting');
		assert.equal(catchUp.toKnowledge(3000), 'current');
		catchUp.noteAnswer(toHost('b'), whole, 3600);
		assert.deepEqual(ended.map(({answers}) => answers), [0, 1]);
	});

	// Guards against a host that has been told nothing, pauses, and then passes for one that knows.
	it('still counts as starting after a pause, and learns nothing from hosts that start', () => {
		const {catchUp} = create();
		catchUp.begin('start', 0);
		catchUp.tick(maxWaitMs);
		assert.equal(catchUp.isBehind(2000), true);
		assert.equal(catchUp.toKnowledge(2000), 'starting');
		catchUp.noteAnswer(toHost('a'), {...whole, id: 2, knowledge: 'starting'}, 2005);
		catchUp.noteAnswer(toHost('b'), {...whole, id: 2, knowledge: 'starting'}, 2006);
		assert.equal(catchUp.isBehind(2006), true);
		assert.equal(catchUp.toKnowledge(2999), 'starting');
		assert.equal(catchUp.toKnowledge(3000), 'behind');
	});

	// Guards against a host that comes back from a cut and takes the word of its zone, which was cut off with it.
	it('learns what it missed from hosts that were not cut off themselves', () => {
		const {catchUp} = create();
		catchUp.begin('isolation', 0);
		catchUp.noteAnswer(toHost('a'), {...whole, knowledge: 'behind'}, 5);
		catchUp.noteAnswer(toHost('b'), {...whole, knowledge: 'behind'}, 6);
		catchUp.tick(maxWaitMs - 1);
		assert.equal(catchUp.isBehind(maxWaitMs - 1), true);
		assert.equal(catchUp.toKnowledge(maxWaitMs - 1), 'behind');
		catchUp.noteAnswer(toHost('c'), whole, maxWaitMs - 1);
		assert.equal(catchUp.isBehind(maxWaitMs - 1), false);
		assert.equal(catchUp.toKnowledge(maxWaitMs - 1), 'current');
	});

	it('takes what another zone that was away tells only if no other host answers in time', () => {
		const {catchUp} = create();
		catchUp.begin('isolation', 0);
		catchUp.noteAnswer(toHost('a', 'y'), {...whole, knowledge: 'behind'}, 5);
		catchUp.noteAnswer(toHost('b', 'y'), {...whole, knowledge: 'starting'}, 6);
		catchUp.tick(199);
		assert.equal(catchUp.isBehind(199), true);
		catchUp.tick(200);
		assert.equal(catchUp.isBehind(200), false);
	});

	// Guards against a host that starts in a zone that is cut off, and counts as told once the cut ends.
	it('remembers that it was told only by hosts that were cut off, until others have told it', () => {
		const {catchUp} = create();
		catchUp.begin('start', 0);
		catchUp.noteAnswer(toHost('a'), {...whole, knowledge: 'behind'}, 5);
		catchUp.tick(200);
		assert.equal(catchUp.isBehind(200), false);
		assert.equal(catchUp.isToldInPart(), true);
		assert.equal(catchUp.toKnowledge(200), 'behind');
		catchUp.begin('isolation', 300);
		catchUp.noteAnswer(toHost('b', 'y'), {...whole, id: 2}, 305);
		catchUp.noteAnswer(toHost('c', 'y'), {...whole, id: 2}, 306);
		assert.equal(catchUp.isToldInPart(), false);
		assert.equal(catchUp.toKnowledge(306), 'current');
	});

	it('ignores answers to an earlier question', () => {
		const {catchUp} = create(['a']);
		catchUp.begin('start', 0);
		catchUp.noteAnswer(toHost('a'), whole, 5);
		catchUp.begin('isolation', 2000);
		catchUp.noteAnswer(toHost('a'), whole, 2001);
		assert.equal(catchUp.isBehind(2001), true);
	});

	it('asks those first that it has asked least often', () => {
		const {catchUp, asked} = create(['a', 'b', 'c', 'd', 'e', 'f']);
		catchUp.begin('start', 0);
		catchUp.tick(50);
		catchUp.tick(100);
		catchUp.tick(200);
		catchUp.tick(300);
		assert.deepEqual(asked, [['a', 'b'], ['c', 'd'], ['e', 'f'], ['a', 'b']]);
	});

	// Guards against a host that stood still while others were told, and acts by what it knew before.
	it('begins by itself after a pause of the process', () => {
		const {catchUp} = create();
		catchUp.tick(500);
		catchUp.tick(1400);
		assert.equal(catchUp.isBehind(1400), false);
		assert.equal(catchUp.isBehind(2600), true);
	});

	it('releases all that wait, and lets nothing wait afterwards', () => {
		const {catchUp} = create(['a']);
		let released = 0;
		const release = () => {
			released++;
		};

		catchUp.begin('start', 0);
		catchUp.whenDone(release, 1);
		catchUp.whenDone(release, 2);
		assert.equal(released, 0);
		catchUp.noteAnswer(toHost('a'), whole, 3);
		assert.equal(released, 2);
		catchUp.whenDone(release, 4);
		assert.equal(released, 3);
	});

	it('never waits longer than its bound, whatever it is told', () => {
		const answer = fc.record({
			from: fc.constantFrom('a', 'b', 'c'), part: fc.nat(3), parts: fc.nat(4), knowledge: fc.constantFrom(...knowledgeStates), zone: fc.constantFrom('z', 'y'), afterMs: fc.nat(90),
		});
		fc.assert(fc.property(fc.array(answer), answers => {
			const {catchUp} = create();
			catchUp.begin('start', 0);
			let now = 0;
			for (const {from, zone, afterMs, ...rest} of answers) {
				now += afterMs;
				catchUp.noteAnswer(toHost(from, zone), {...rest, kind: 'answer', id: 1}, now);
				catchUp.tick(now);
				assert.ok(!catchUp.isBehind(now) || now < maxWaitMs);
			}
		}));
	});
});
