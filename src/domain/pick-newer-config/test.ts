import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toYamlDocument} from '../_test/documents.js';
import {acceptConfig} from '../accept-config/index.js';
import {pickNewerConfig} from './index.js';

function toAccepted(note: string, revision: number) {
	const verdict = acceptConfig(undefined, {text: toYamlDocument(note), revision});
	assert.ok(verdict.status === 'accepted');
	return verdict.accepted;
}

describe('pickNewerConfig', () => {
	const older = toAccepted('older', 1);
	const newer = toAccepted('newer', 2);
	for (const [title, current, candidate, expected] of [
		['the only one', undefined, older, older],
		['the one in force when there is no other', older, undefined, older],
		['the newer candidate', older, newer, newer],
		['the one in force when the candidate is older', newer, older, newer],
		['the one in force when both have the same version', newer, toAccepted('newer', 2), newer],
	] as const) {
		it(`picks ${title}`, () => {
			assert.equal(pickNewerConfig(current, candidate), expected);
		});
	}

	it('returns undefined when there is neither', () => {
		assert.equal(pickNewerConfig(undefined, undefined), undefined);
	});
});
