import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {createPartQuarantine, type PartQuarantine} from './index.js';

/** Lets servers end under parts, one every two seconds; returns the time of the last end. */
function endServers(quarantine: PartQuarantine, parts: readonly string[], {servers = ['a', 'b', 'c', 'd'], from = 0} = {}): number {
	for (const [i, server] of servers.entries()) {
		for (const part of parts) {
			quarantine.suspects.noteBroken(part, server, from + (2 * i * msPerSecond));
		}
	}

	return from + (2 * (servers.length - 1) * msPerSecond);
}

const kinds = (quarantine: PartQuarantine, parts: readonly string[], times: readonly number[]): string[] => times.map(now => quarantine.decide(parts, now).kind);

describe('createPartQuarantine', () => {
	it('refuses requests with a part under which servers ended, and no others', () => {
		const quarantine = createPartQuarantine();
		const endedAt = endServers(quarantine, ['fatal']);
		const verdict = quarantine.decide(['first', 'fatal', 'last'], endedAt);
		assert.equal(verdict.kind, 'refuse');
		assert.deepEqual(verdict.kind === 'refuse' && verdict.blamed.parts, ['fatal']);
		assert.deepEqual(kinds(quarantine, ['first', 'last'], [endedAt]), ['run']);
		assert.deepEqual(kinds(quarantine, [], [endedAt]), ['run']);
		assert.equal(quarantine.count(endedAt), 1);
	});

	/* Guards against refusing sound requests that share a part with those which end servers. */
	it('sends on requests with only some of the parts that cannot be told apart, which clears or convicts', () => {
		const quarantine = createPartQuarantine();
		const endedAt = endServers(quarantine, ['first', 'fatal']);
		assert.deepEqual(kinds(quarantine, ['first', 'fatal'], [endedAt]), ['refuse']);
		assert.deepEqual(kinds(quarantine, ['first', 'other'], [endedAt]), ['run']);
		quarantine.suspects.noteSurvived('first', 'well', endedAt + 100);
		assert.deepEqual(kinds(quarantine, ['fatal', 'other'], [endedAt + 200]), ['refuse']);
		assert.deepEqual(kinds(quarantine, ['first', 'other'], [endedAt + 200]), ['run']);
	});

	it('lets one request through after twenty seconds, and after each further crash three times later', () => {
		const quarantine = createPartQuarantine();
		const endedAt = endServers(quarantine, ['fatal']);
		const second = (n: number) => endedAt + (n * msPerSecond);
		assert.deepEqual(kinds(quarantine, ['fatal'], [second(19), second(20), second(20.1), second(29), second(30)]), ['refuse', 'trial', 'refuse', 'refuse', 'trial']);
		quarantine.suspects.noteBroken('fatal', 'e', second(31));
		assert.deepEqual(kinds(quarantine, ['fatal'], [second(52), second(90), second(91)]), ['refuse', 'refuse', 'trial']);
		quarantine.suspects.noteSurvived('fatal', 'well', second(92));
		assert.deepEqual(kinds(quarantine, ['fatal'], [second(92)]), ['run']);
	});

	it('tries nothing on a host that is not picked, and asks anew for each time slot', () => {
		const asked: string[] = [];
		const quarantine = createPartQuarantine({
			isPicked(key) {
				asked.push(key);
				return false;
			},
		});
		const endedAt = endServers(quarantine, ['fatal']);
		assert.deepEqual(kinds(quarantine, ['fatal'], [21, 31, 41].map(n => endedAt + (n * msPerSecond))), ['refuse', 'refuse', 'refuse']);
		assert.equal(new Set(asked).size, 3);
	});

	it('returns each change of the blamed parts once', () => {
		const quarantine = createPartQuarantine();
		const endedAt = endServers(quarantine, ['fatal']);
		const [blamed] = quarantine.takeChanges(endedAt).blamed;
		assert.deepEqual(blamed?.parts, ['fatal']);
		assert.deepEqual(quarantine.takeChanges(endedAt), {blamed: [], freed: []});
		quarantine.suspects.noteSurvived('fatal', 'well', endedAt + 1);
		assert.deepEqual(quarantine.takeChanges(endedAt + 1), {blamed: [], freed: [['fatal']]});
	});

	/* Guards against a caller that fills the memory with parts of its own. */
	it('keeps blamed parts when many others become suspects', () => {
		const quarantine = createPartQuarantine();
		const endedAt = endServers(quarantine, ['fatal']);
		for (let n = 0; n < 6000; n++) {
			quarantine.suspects.noteBroken(`own-${n}`, 'e', endedAt + 10);
		}

		assert.equal(quarantine.suspects.count(endedAt + 10).suspects, 4096);
		assert.deepEqual(kinds(quarantine, ['fatal'], [endedAt + 10]), ['refuse']);
	});

	it('keeps the evidence of several moments when many servers end at one', () => {
		const quarantine = createPartQuarantine();
		for (const moment of [0, 2000]) {
			endServers(quarantine, ['fatal'], {servers: ['x'], from: moment});
			for (let n = 0; n < 40; n++) {
				quarantine.suspects.noteBroken('fatal', `s${moment}-${n}`, moment + 10);
			}
		}

		assert.deepEqual(kinds(quarantine, ['fatal'], [3000]), ['refuse']);
	});

	it('forgets parts that were not seen for an hour', () => {
		const quarantine = createPartQuarantine({isPicked: () => false});
		const endedAt = endServers(quarantine, ['fatal']);
		assert.deepEqual(kinds(quarantine, ['fatal'], [endedAt + (61 * msPerMinute)]), ['run']);
	});
});
