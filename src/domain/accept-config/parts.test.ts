import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AcceptedConfig, type ConfigPart, type FindPart} from '../../ports/config.js';
import {findAmong} from '../_test/to-part-document.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {compareConfigVersions} from '../compare-config-versions/index.js';
import {createConfigReader} from '../parse-config/index.js';
import {sealParts} from '../seal-parts/index.js';
import {splitConfig} from '../split-config/index.js';
import {toConfigText} from '../to-config-text/index.js';
import {toPartKey} from '../to-part-key/index.js';
import {acceptConfig, type ConfigVerdict} from './index.js';

type Edition = {text: string; parts: readonly ConfigPart[]};

const source = splitConfig(toConfigText(toFleetConfig(24, 9)), (_, position) => position % 8 === 0)._unsafeUnwrap();
const texts = new Map(source.parts.map(({name, text}) => [name, text]));

/** Each edition changes one rule, and with it one part. */
function toEditions(count: number): readonly Edition[] {
	const editions: Edition[] = [];
	for (let i = 0; i < count; i++) {
		const edited = (name: string) => texts.get(name)?.replace(`"r${i * 5}"`, `"edition ${i}"`);
		editions.push(sealParts(source.root, edited, editions.at(-1)?.text)._unsafeUnwrap());
	}

	return editions;
}

const editions = toEditions(4);
const [first, second] = editions as [Edition, Edition];

type ServedState = 'there' | 'missing' | 'cut' | 'older';

/** Returns what the platform serves for a part. */
function toServed(fate: ServedState, text: string, older: string): string | undefined {
	switch (fate) {
		case 'there': {
			return text;
		}

		case 'cut': {
			return text.slice(0, -1);
		}

		case 'older': {
			return older.replace('"end"', '"END"');
		}

		case 'missing': {
			return undefined;
		}
	}
}

function accept(current: AcceptedConfig | undefined, {text, parts}: Edition, revision = 1): AcceptedConfig {
	const verdict: ConfigVerdict = acceptConfig(current, {text, revision, findPart: findAmong(parts)});
	assert.equal(verdict.status, 'accepted', JSON.stringify(verdict));
	return (verdict).accepted;
}

describe('acceptConfig of parts', () => {
	it('never takes a root whose parts are missing, cut off or older, and names exactly those parts', () => {
		const fate = fc.constantFrom<ServedState[]>('there', 'missing', 'cut', 'older');
		fc.assert(fc.property(fc.array(fate, {minLength: first.parts.length, maxLength: first.parts.length}), fc.boolean(), (fates, isFirst) => {
			const current = isFirst ? undefined : accept(undefined, first);
			const held = new Set(current?.parts?.map(({sha256}) => sha256));
			const found = new Map(second.parts.flatMap(({sha256, text}, i): Array<[string, string]> => {
				const served = toServed(fates[i]!, text, first.parts[i]!.text);
				return served === undefined ? [] : [[sha256, served]];
			}));
			const missing = second.parts.filter(({sha256}, i) => fates[i] !== 'there' && !held.has(sha256));
			const verdict = acceptConfig(current, {text: second.text, revision: 2, findPart: ({sha256}) => found.get(sha256)});
			assert.equal(verdict.status, missing.length === 0 ? 'accepted' : 'refused');
			if (verdict.status === 'refused') {
				assert.equal(verdict.reason, 'parts-missing');
				assert.deepEqual(verdict.missing.map(({name}) => name), missing.map(({name}) => name));
				assert.ok(missing.slice(0, 8).every(part => verdict.message.includes(toPartKey(part))), verdict.message);
			}
		}), {numRuns: 200});
	});

	it('needs only the changed part of the document that follows the one in force', () => {
		const changed = second.parts.filter(({sha256}) => !first.parts.some(part => part.sha256 === sha256));
		const accepted = accept(accept(undefined, first), {...second, parts: changed}, 2);
		assert.equal(changed.length, 1);
		assert.deepEqual(accepted.parts, second.parts);
	});

	it('refuses an older root without looking for its parts', () => {
		const verdict = acceptConfig(accept(undefined, second), {
			text: first.text,
			revision: 9,
			findPart() {
				throw new Error('looked for a part');
			},
		});
		assert.equal(verdict.status === 'refused' && verdict.reason, 'older');
	});

	it('refuses a root that was changed after it was sealed', () => {
		const verdict = acceptConfig(undefined, {text: first.text.replace(first.parts[0]!.sha256, second.parts[1]!.sha256), revision: 1, findPart: findAmong([...first.parts, ...second.parts])});
		assert.equal(verdict.status === 'refused' && verdict.reason, 'altered');
	});

	it('brings every host to the newest whole document, however publications of roots and parts interleave with reads by hosts', () => {
		type Step = {kind: 'part' | 'root' | 'look'; edition: number; part: number; host: number};
		const publishes: Step[] = editions.flatMap(({parts}, edition): Step[] => [
			{
				kind: 'root', edition, part: 0, host: 0,
			},
			...parts.map((_, part): Step => ({
				kind: 'part', edition, part, host: 0,
			})),
		]);
		const look = fc.nat(2).map((host): Step => ({
			kind: 'look', edition: 0, part: 0, host,
		}));
		const looks = fc.array(look, {minLength: 10, maxLength: 40});
		const steps = looks.chain(list => fc.shuffledSubarray<Step>([...publishes, ...list], {minLength: publishes.length}));
		fc.assert(fc.property(steps, run => {
			const published = new Map<string, string>();
			let root: {text: string; revision: number} | undefined;
			const hosts = Array.from({length: 3}, () => ({read: createConfigReader(), accepted: undefined as AcceptedConfig | undefined}));
			const offer = (host: typeof hosts[number], text: string, revision: number, findPart: FindPart) => {
				const before = host.accepted;
				const verdict = acceptConfig(before, {text, revision, findPart}, {read: host.read});
				host.accepted = verdict.status === 'refused' ? before : verdict.accepted;
				assert.ok(!before || compareConfigVersions(host.accepted!.version, before.version) >= 0, 'the host returned to an older version');
			};

			for (const step of run) {
				if (step.kind === 'root') {
					root = {text: editions[step.edition]!.text, revision: (root?.revision ?? 0) + 1};
				} else if (step.kind === 'part') {
					const part = editions[step.edition]!.parts[step.part]!;
					published.set(toPartKey(part), part.text);
				} else if (root) {
					offer(hosts[step.host]!, root.text, root.revision, part => published.get(toPartKey(part)));
				}
			}

			const newest = hosts.map(({accepted}) => accepted).filter(accepted => accepted !== undefined);
			// The hosts then exchange their documents.
			for (const host of hosts) {
				for (const {text, version, parts} of newest) {
					offer(host, text, version.revision, findAmong(parts ?? []));
				}
			}

			const digests = new Set(hosts.map(({accepted}) => accepted?.version.digest));
			assert.equal(digests.size, 1);
			const known = editions.filter(({text}) => newest.some(accepted => accepted.text === text));
			assert.equal(hosts[0]!.accepted?.text, known.at(-1)?.text);
			for (const {accepted} of hosts) {
				const edition = editions.find(({text}) => text === accepted?.text);
				assert.deepEqual(accepted?.parts, edition?.parts);
			}
		}), {numRuns: 100});
	});
});
