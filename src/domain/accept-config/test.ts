import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AcceptedConfig} from '../../ports/config.js';
import {toYamlDocument} from '../_test/documents.js';
import {compareConfigVersions} from '../compare-config-versions/index.js';
import {sealConfig} from '../seal-config/index.js';
import {acceptConfig, type ConfigCandidate} from './index.js';

function toSealed(note: string, previous?: string): string {
	return sealConfig(toYamlDocument(note), previous)._unsafeUnwrap().text;
}

function toAccepted(...candidates: ConfigCandidate[]): AcceptedConfig | undefined {
	let current: AcceptedConfig | undefined;
	for (const candidate of candidates) {
		const verdict = acceptConfig(current, candidate);
		current = verdict.status === 'refused' ? current : verdict.accepted;
	}

	return current;
}

const first = toSealed('first');
const second = toSealed('second', first);
const rival = toSealed('rival', first);
const third = toSealed('third', second);
const plain = toYamlDocument('plain');
const laterPlain = toYamlDocument('later');
const plainInFirst = toYamlDocument('plain in the first edition', 1);

describe('acceptConfig', () => {
	type Step = [text: string, revision: number, status: string, reason?: string];
	const cases: Array<[title: string, ...steps: Step[]]> = [
		['takes the first document', [plain, 1, 'accepted']],
		['takes a plain edit at a higher revision', [plain, 1, 'accepted'], [laterPlain, 2, 'accepted']],
		['refuses what a platform serves at an old revision after an outage', [plain, 1, 'accepted'], [laterPlain, 5, 'accepted'], [plain, 1, 'refused', 'older']],
		['takes an old text that an operator publishes again on purpose', [plain, 1, 'accepted'], [laterPlain, 2, 'accepted'], [plain, 3, 'accepted']],
		['refuses revisions in between once the document in force was seen at a higher one', [plain, 1, 'accepted'], [plain, 7, 'unchanged'], [laterPlain, 5, 'refused', 'older']],
		['does not go back when the same document is served at a lower revision', [plain, 7, 'accepted'], [plain, 1, 'unchanged'], [laterPlain, 5, 'refused', 'older']],
		['takes editions in turn', [first, 1, 'accepted'], [second, 2, 'accepted'], [third, 3, 'accepted']],
		['takes an edition after a missed one', [first, 1, 'accepted'], [third, 3, 'accepted']],
		['refuses an earlier edition, also at a higher revision', [second, 2, 'accepted'], [first, 9, 'refused', 'older']],
		['takes a later edition, also at a lower revision', [first, 9, 'accepted'], [second, 1, 'accepted']],
		['refuses a plain document without edition after a sealed one', [first, 1, 'accepted'], [plain, 9, 'refused', 'older']],
		['takes a plain edit that names the edition in force', [first, 1, 'accepted'], [plainInFirst, 2, 'accepted']],
		['refuses a plain edit that names the edition in force at a lower revision', [first, 3, 'accepted'], [plainInFirst, 2, 'refused', 'older']],
		['takes a sealed document over plain ones', [plain, 9, 'accepted'], [first, 1, 'accepted']],
		['takes the conflicting document at the higher revision', [second, 2, 'accepted'], [rival, 3, 'accepted']],
		['refuses the conflicting document at the lower revision', [rival, 3, 'accepted'], [second, 2, 'refused', 'rival-lost']],
		['refuses a truncated document', [first, 1, 'accepted'], [second.slice(0, -20), 2, 'refused', 'incomplete']],
		['refuses an altered document', [first, 1, 'accepted'], [second.replace('10.0.0.1', '10.0.0.2'), 2, 'refused', 'altered']],
		['refuses a bad edit after a good one', [plain, 1, 'accepted'], [plain.replace('pool: p}', 'pool: q}'), 2, 'refused', 'invalid'], [laterPlain, 3, 'accepted']],
	];
	for (const [title, ...steps] of cases) {
		it(title, () => {
			let current: AcceptedConfig | undefined;
			for (const [text, revision, status, reason] of steps) {
				const verdict = acceptConfig(current, {text, revision});
				assert.equal(verdict.status, status, JSON.stringify(verdict));
				assert.equal(verdict.status === 'refused' ? verdict.reason : undefined, reason);
				current = verdict.status === 'refused' ? current : verdict.accepted;
			}
		});
	}

	it('names the same losing document, whichever of two conflicting documents came first', () => {
		const [byRevision, byDigest] = [[2, 3], [0, 0]].map(([revision, rivalRevision]) => {
			const documents = [{text: second, revision: revision!}, {text: rival, revision: rivalRevision!}] as const;
			return [documents, documents.toReversed()].map(([one, other]) => {
				const verdict = acceptConfig(toAccepted(one), other);
				assert.ok(verdict.status !== 'unchanged' && verdict.conflict);
				return verdict.conflict;
			});
		});
		assert.deepEqual(byRevision![0], byRevision![1]);
		assert.deepEqual(byDigest![0], byDigest![1]);
		assert.match(byRevision![0]!.message, /edition 2: .* wins and .* loses/);
	});

	it('warns when a sealed document does not follow the one in force', () => {
		const verdict = acceptConfig(toAccepted({text: rival, revision: 1}), {text: third, revision: 2});
		assert.ok(verdict.status === 'accepted');
		assert.match(verdict.warning!, /follows another document/);
		const inLine = acceptConfig(toAccepted({text: second, revision: 1}), {text: third, revision: 2});
		assert.equal(inLine.status === 'accepted' ? inLine.warning : 'refused', undefined);
	});

	it('ends at the same version on every host, whatever the order of documents, and never returns to an older one', () => {
		const texts = [
			plain,
			laterPlain,
			plainInFirst,
			first,
			second,
			rival,
			third,
			toYamlDocument('second by hand', 2),
			toSealed('on plain', plain),
			third.slice(0, -1),
			second.replace('10.0.0.1', '10.0.0.2'),
			plain.replace('pool: p}', 'pool: q}'),
		];
		const anyCandidate: fc.Arbitrary<ConfigCandidate> = fc.record({text: fc.constantFrom(...texts), revision: fc.nat(4)});
		const orders = fc.array(anyCandidate, {minLength: 1, maxLength: 8})
			.chain(documents => fc.tuple(fc.shuffledSubarray(documents, {minLength: documents.length}), fc.shuffledSubarray([...documents, ...documents], {minLength: 2 * documents.length})));
		fc.assert(fc.property(orders, ([here, there]) => {
			assert.deepEqual(toAccepted(...here)?.version, toAccepted(...there)?.version);
			for (let i = 1; i < here.length; i++) {
				const [before, after] = [toAccepted(...here.slice(0, i)), toAccepted(...here.slice(0, i + 1))];
				assert.ok(!before || (after && compareConfigVersions(after.version, before.version) >= 0));
			}
		}), {numRuns: 150});
	});
});
