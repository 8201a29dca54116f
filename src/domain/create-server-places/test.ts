import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type PlaceMessage, type Place} from '../../ports/places.js';
import {createServerPlaces, type ServerPlaces} from './index.js';

const server = {id: 's', slots: 1};
const keeper = '10.0.0.1:7380';
const successor = '10.0.0.2:7380';
const asker = '10.0.0.3:7380';

/** Creates hosts whose messages arrive at once, except those to lost hosts. */
function createHosts() {
	const lost = new Set<string>();
	const sent: PlaceMessage[] = [];
	const hosts = new Map<string, ServerPlaces>();
	const time = {now: 0};
	for (const self of [keeper, successor, asker]) {
		hosts.set(self, createServerPlaces({
			self,
			rankKeepers: () => [keeper, successor, asker],
			send(message, to) {
				sent.push(message);
				if (!lost.has(to)) {
					hosts.get(to)!.receive(message, self, time.now);
				}
			},
		}));
	}

	function take(host: string, isForced = false): {place: Place | undefined; isSettled: boolean} {
		const taken: {place: Place | undefined; isSettled: boolean} = {place: undefined, isSettled: false};
		hosts.get(host)!.take(server, {isForced}, time.now, place => {
			taken.place = place;
			taken.isSettled = true;
		});
		return taken;
	}

	return {
		hosts, lost, sent, time, take,
	};
}

describe('createServerPlaces', () => {
	it('counts the requests of all hosts at the server\'s keeper', () => {
		const {take} = createHosts();
		const first = take(asker);
		assert.equal(first.place?.isTaken, true);
		assert.deepEqual([take(successor).place?.isTaken, take(keeper).place?.isTaken], [false, false]);
		first.place.leave();
		assert.equal(take(keeper).place?.isTaken, true);
	});

	it('counts a request that is sent although the server is full', () => {
		const {take} = createHosts();
		take(asker);
		const forced = take(successor, true);
		assert.deepEqual([forced.place?.isTaken, forced.place?.count], [true, 1]);
		assert.equal(take(asker).place?.count, 2);
	});

	// Guards against requests that wait for a keeper which is gone, and against counts that no request holds.
	it('gives up a question after its time, takes it back, and asks the next host after two', () => {
		const {hosts, lost, sent, time, take} = createHosts();
		lost.add(keeper);
		for (const _ of [1, 2]) {
			const unanswered = take(asker);
			assert.equal(unanswered.isSettled, false);
			time.now += 50;
			hosts.get(asker)!.tick(time.now);
			assert.deepEqual(unanswered, {place: undefined, isSettled: true});
		}

		assert.deepEqual(sent.map(({kind}) => kind), ['ask', 'leave', 'ask', 'leave']);
		assert.equal(take(asker).place?.isTaken, true);
		lost.clear();
		time.now += 3000;
		assert.equal(take(asker).place?.isTaken, true);
		assert.equal(sent.filter(({kind}) => kind === 'ask').length, 4);
	});

	it('counts the keeper\'s own requests without a message, each by itself', () => {
		const {sent, take} = createHosts();
		const first = take(keeper);
		assert.equal(first.place?.isTaken, true);
		const forced = take(keeper, true);
		assert.equal(forced.place?.count, 1);
		assert.equal(take(keeper).place?.count, 2);
		first.place.leave();
		forced.place.leave();
		assert.equal(take(keeper).place?.count, 0);
		assert.deepEqual(sent, []);
	});

	it('asks a silent keeper again after three seconds', () => {
		const {hosts, lost, sent, time, take} = createHosts();
		lost.add(keeper);
		for (const _ of [1, 2]) {
			take(asker);
			time.now += 50;
			hosts.get(asker)!.tick(time.now);
		}

		time.now += 2999;
		const before = sent.length;
		assert.equal(take(asker).place?.isTaken, true, 'by the successor');
		time.now += 1;
		assert.equal(take(asker).isSettled, false, 'the keeper is asked and does not answer');
		assert.deepEqual(sent.slice(before).map(({kind}) => kind), ['ask', 'answer', 'ask']);
	});
});
