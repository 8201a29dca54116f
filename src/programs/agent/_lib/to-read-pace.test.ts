import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toReadPace} from './to-read-pace.js';

describe('toReadPace', () => {
	const cases = [
		{name: 'a peer was heard', input: {hasHeardFromPeer: true, listedHosts: 399, seeds: 3}, gapMs: 50},
		{name: 'a peer was heard before the list was read', input: {hasHeardFromPeer: true, listedHosts: undefined, seeds: 0}, gapMs: 50},
		{name: 'nothing names another host', input: {hasHeardFromPeer: false, listedHosts: 0, seeds: 0}, gapMs: 50},
		{name: 'the list was not read yet', input: {hasHeardFromPeer: false, listedHosts: undefined, seeds: 0}, gapMs: 333},
		{name: 'the list names others', input: {hasHeardFromPeer: false, listedHosts: 399, seeds: 0}, gapMs: 333},
		{name: 'the settings name others', input: {hasHeardFromPeer: false, listedHosts: 0, seeds: 1}, gapMs: 333},
	];
	for (const {name, input, gapMs} of cases) {
		it(`reads every ${gapMs} ms when ${name}`, () => {
			assert.equal(toReadPace(input).gapMs, gapMs);
		});
	}
});
