import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toConfigChunks} from './index.js';

const lines = Array.from({length: 4000}, (_, i) => `- {name: r${i}, when: {workspace: ws-${i}}, then: summary}\n`);
const text = lines.join('');

describe('toConfigChunks', () => {
	it('keeps the chunk length near the average and at most eight times as long', () => {
		const {chunks} = toConfigChunks(text, {averageLength: 1000});
		const lengths = [...chunks.values()].map(({length}) => length);
		const average = text.length / lengths.length;
		assert.ok(average > 500 && average < 1500, `${average}`);
		assert.ok(Math.max(...lengths) <= 8000);
	});

	it('bounds the chunks of a text without line breaks', () => {
		const {chunks} = toConfigChunks(text.replaceAll('\n', ' '), {averageLength: 1000});
		assert.ok([...chunks.values()].every(({length}) => length <= 8000));
	});

	it('changes only a few chunks when a line is changed, added or removed', () => {
		const before = toConfigChunks(text).chunks;
		fc.assert(fc.property(fc.nat(lines.length - 1), fc.constantFrom('', '- {name: new}\n', '- {name: a}\n- {name: b}\n'), (position, added) => {
			const after = toConfigChunks([...lines.slice(0, position), added, ...lines.slice(position + 1)].join('')).chunks;
			assert.ok([...after.keys()].filter(digest => !before.has(digest)).length <= 3);
		}), {numRuns: 50});
	});
});
