import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {parseConfig, toFaultLine} from './index.js';

const validText = `zones:
  - {id: a, region: r}
pools:
  - {name: summaries, model: m, version: '1', classes: batch, adapters: [x]}
  - {name: desk, kind: plain}
hosts:
  - {id: a-1, zone: a}
servers:
  - {id: p1, zone: a, url: 'http://10.0.0.1:80', role: prefill, pool: summaries}
  - {id: d1, zone: a, url: 'http://10.0.0.2:80', role: decode, pool: summaries}
  - {id: k1, zone: a, url: 'http://10.0.0.3:80', role: plain, pool: desk}
routes:
  lookup: {pool: desk, class: quick, repeatable: true}
rules:
  - {name: letters, when: {model: m}, then: {pool: summaries, class: batch, repeatable: true, target: {firstToken: 1.3s}}}
  - {name: rest, then: lookup}
end: banyanport
`;

function toFaults(text: string): string[] {
	const result = parseConfig(text, {file: 'rules.yaml'});
	return result.isOk() ? [] : result.error.map(fault => toFaultLine(fault));
}

describe('parseConfig', () => {
	it('fills in routes and defaults, and reads durations', () => {
		const config = parseConfig(validText)._unsafeUnwrap();
		assert.deepEqual(config.rules[0]?.then.target, {firstTokenMs: 1300, perTokenMs: 250, completeMs: 600_000});
		assert.equal(config.rules[1]?.then.pool, 'desk');
		assert.deepEqual(config.servers.map(({slots}) => slots), [4, 20, 64]);
	});

	it('reads the rollout policy of a pool', () => {
		const toRollout = (text: string) => parseConfig(text)._unsafeUnwrap().pools[0]?.rollout;
		assert.equal(toRollout(validText), undefined);
		assert.equal(toRollout(validText.replace('classes: batch, ', 'classes: batch, rollout: allow-gap, ')), 'allow-gap');
	});

	describe('workspaces', () => {
		const key = '0a'.repeat(32);
		const withWorkspaces = (lines: string, more = '') => validText.replace('end: banyanport', `workspaces:\n${lines}\n${more}end: banyanport`);

		it('are read with keys, class and limit', () => {
			const {callerTokens, workspaces} = parseConfig(withWorkspaces(`  lipa: {keys: ['${key}'], class: batch, limit: {unit: tokens, perSecond: 900}}\n  breg: {keys: []}`))._unsafeUnwrap();
			assert.deepEqual(callerTokens, {[key]: 'lipa'});
			assert.deepEqual(workspaces, {
				lipa: {
					class: 'batch', limit: {
						unit: 'tokens', perSecond: 900, burst: 900, unstatedTokens: 0,
					},
				},
				breg: {},
			});
		});

		const faulty: ReadonlyArray<[string, string, string, RegExp]> = [
			['a key of two workspaces', `  lipa: {keys: ['${key}']}\n  breg: {keys: ['${key}']}`, '', /workspace "lipa" holds the same key.*a key of its own/v],
			['a key that callerTokens gives to another', `  breg: {keys: ['${key}']}`, `callerTokens: {'${key}': lipa}\n`, /workspace "lipa" holds the same key/v],
			['a key that is no digest', '  lipa: {keys: [secret]}', '', /SHA-256 of a key/v],
			['a limit that allows nothing', '  lipa: {keys: [], limit: {perSecond: 0}}', '', /18:39: 0 is not a whole number from 1/v],
		];
		for (const [name, lines, more, message] of faulty) {
			it(`are refused with ${name}`, () => {
				assert.match(toFaults(withWorkspaces(lines, more)).join('\n'), message);
			});
		}
	});

	it('reads JSON the same way, tabs included', () => {
		const config = parseConfig(validText)._unsafeUnwrap();
		const json = `{
			"zones": [{"id": "a", "region": "r"}],
			"pools": [
				{"name": "summaries", "model": "m", "version": "1", "classes": ["batch"], "adapters": ["x"]},
				{"name": "desk", "kind": "plain"}
			],
			"hosts": ${JSON.stringify(config.hosts)},
			"servers": ${JSON.stringify(config.servers)},
			"rules": [
				{"name": "letters", "when": {"model": ["m"]}, "then": {"pool": "summaries", "class": "batch", "repeatable": true, "target": {"firstToken": "1300ms"}}},
				{"name": "rest", "then": {"pool": "desk", "class": "quick", "repeatable": true}}
			],
			"end": "banyanport"
		}`;
		assert.deepEqual(parseConfig(json)._unsafeUnwrap(), config);
	});

	/** An edit of the valid document, and for each expected fault the text to which line and column must point. */
	type FaultCase = [title: string, from: string, to: string, ...faults: Array<[place: string, message: RegExp]>];

	const cases: FaultCase[] = [
		['an unknown key', 'region: r', 'regoin: r', ['{id: a,', /"region" is missing; add/], ['regoin', /"regoin" is not a key here; write "region"/]],
		['an unknown pool', 'then: {pool: summaries', 'then: {pool: sumaries', ['sumaries', /no pool "sumaries"; write "summaries"/]],
		['an unknown route', 'then: lookup', 'then: lokup', ['lokup', /no route "lokup"; write "lookup"/]],
		['an unknown model', 'when: {model: m}', 'when: {model: mm}', ['mm}', /no pool serves a model "mm"; write "m"/]],
		['an unknown zone in a rule', 'when: {model: m}', 'when: {model: m, zone: [a, b]}', ['b]}', /no zone "b"/]],
		['an unknown zone of a host', '{id: a-1, zone: a}', '{id: a-1, zone: b}', ['b}', /no zone "b"; write "a"/]],
		['a missing catch-all', 'rest, then', 'rest, when: {zone: a}, then', ['{name: rest', /the last rule, "rest", does not match every request/]],
		['a quick rule to a batch-only pool', 'class: batch, rep', 'class: quick, rep', ['quick, repeatable: true, target', /quick work is sent to pool "summaries", which takes only batch/]],
		['a duplicate name', 'id: d1', 'id: p1', ['p1, zone: a, url: \'http://10.0.0.2', /"p1" is already the id of entry 1 of servers/]],
		['a duplicate key', 'then: lookup', 'then: lookup, then: lookup', ['then: lookup}', /the key "then" appears twice in one map; keep one/]],
		['a dead rule', 'rules:\n', 'rules:\n  - {name: all, then: lookup}\n', ['{name: letters', /"letters" never decides: "all" \(rule 1\)/], ['{name: rest', /"rest" never decides/]],
		['a pool without a needed role', 'role: decode', 'role: prefill', ['{name: summaries', /pool "summaries" has no decode server/]],
		['a role that the pool does not use', 'role: plain', 'role: decode', ['{name: desk', /pool "desk" has no plain server/], ['decode, pool: desk', /a decode server can't work in pool "desk"/]],
		['an unknown rollout policy', 'classes: batch, ', 'classes: batch, rollout: allow-gaps, ', ['allow-gaps', /"allow-gaps" is not known here; write "allow-gap"/]],
		['a rollout policy for a plain pool', 'kind: plain}', 'kind: plain, rollout: allow-gap}', ['allow-gap', /a plain pool loads no weights; leave "rollout" out/]],
		['a number that should be text', 'version: \'1\'', 'version: 1.5', ['1.5', /1.5 is read as a number, not as text; put it in quotes, as in '1.5'/]],
		['a duration without unit', 'firstToken: 1.3s', 'firstToken: 1.3', ['1.3}', /1.3 is not a number with one of the units ms, s, m, h/]],
		['a word in the place of true or false', 'repeatable: true}\n', 'repeatable: yes}\n', ['yes', /"yes" is neither true nor false/]],
		['an adapter that the pool lacks', 'class: batch, rep', 'adapter: y, class: batch, rep', ['y, class', /pool "summaries" has no adapter "y"; write "x"/]],
		['a URL with a host name', 'http://10.0.0.3:80', 'http://desk:80', ['\'http://desk', /"http:\/\/desk:80" is not an address like/]],
		['an empty section', 'hosts:\n  - {id: a-1, zone: a}', 'hosts:', ['hosts:', /"hosts" is empty; give it a value/]],
		['no end mark', 'end: banyanport\n', '', ['zones:', /"end" is missing/], ['zones:', /does not end with its end mark/]],
		['a second end mark', 'routes:\n', 'end: "banyanport"\nroutes:\n', ['end: banyanport', /appears twice in one map/]],
		['an edition that is not before the end mark', 'zones:\n', 'edition: 4\nzones:\n', ['edition', /the edition is not directly before the end mark/]],
	];
	for (const [title, from, to, ...expected] of cases) {
		it(`reports ${title}`, () => {
			assert.ok(validText.includes(from));
			const edited = validText.replace(from, to);
			const faults = toFaults(edited);
			for (const [place, message] of expected) {
				const before = edited.slice(0, edited.indexOf(place)).split('\n');
				const start = `rules.yaml:${before.length}:${before.at(-1)!.length + 1}: `;
				assert.ok(faults.some(fault => fault.startsWith(start) && message.test(fault)), `${start}${String(message)} in\n${faults.join('\n')}`);
			}

			assert.equal(faults.length, expected.length, faults.join('\n'));
		});
	}

	it('reports a key that JSON has twice, also when both have the same value', () => {
		for (const twice of ['"a": 1, "a": 1', '"routes": {"x": 1, "x": 2}']) {
			assert.match(toFaults(`{${twice}, "end": "banyanport"}`)[0]!, /appears twice in one map/);
		}

		assert.doesNotMatch(toFaults(String.raw`{"zones": [{"id": "a\":\\", "region": ":"}], "end": "banyanport"}`).join('\n'), /twice/);
	});

	it('reports broken syntax with its line', () => {
		const faults = toFaults(validText.replace('routes:\n', 'routes: [\n'));
		assert.match(faults[0]!, /^rules\.yaml:1\d:\d+: .*; check indentation/);
	});

	it('reports faults of several sections at once, in the order of lines', () => {
		const faults = toFaults(validText.replace('region: r', 'region: r, x: 1')
			.replace('repeatable: true, target', 'repeatable: 1, target')
			.replace('then: {pool: summaries', 'then: {pool: nowhere')
			.replace('then: lookup', 'then: lokup'));
		assert.deepEqual(faults.map(fault => Number(fault.split(':')[1])), [2, 15, 15, 16]);
	});

	it('refuses an end mark that is not last, since a truncation after it would go unnoticed', () => {
		const moved = `end: banyanport\n${validText.replace('end: banyanport\n', '')}`;
		assert.match(toFaults(moved).join('\n'), /^rules\.yaml:1:6: the document does not end with its end mark/);
	});

	it('accepts no proper prefix of a document', () => {
		for (let length = 0; length < validText.length - 1; length++) {
			assert.ok(parseConfig(validText.slice(0, length)).isErr(), `the first ${length} characters were accepted`);
		}
	});

	// Without the limit on depth the first three end the process: the YAML parser overflows the stack while Node compiles a regular expression.
	const hostile: Array<[title: string, text: string, fault: RegExp]> = [
		['many open lists', `a: ${'['.repeat(200_000)}`, /:1:68: more than 64 brackets are open/],
		['many open maps', `${'{"a":'.repeat(100_000)}1${'}'.repeat(100_000)}`, /:1:321: more than 64 brackets are open/],
		['many dashes on a line', '- '.repeat(100_000), /:1:1: a line is indented by more than 128 columns/],
		['an indent that grows with each line', Array.from({length: 3000}, (_, i) => `${' '.repeat(i)}-`).join('\n'), /:129:1: a line is indented by more than 128 columns/],
		['aliases of aliases', Array.from({length: 9}, (_, i) => `a${i}: &a${i} [${Array.from({length: 10}, () => i === 0 ? 'x' : `*a${i - 1}`).join(', ')}]`).join('\n'), /alias/],
		['a string without end', `{"a${String.raw`\"`.repeat(300_000)}`, /./],
	];
	for (const [title, text, fault] of hostile) {
		it(`refuses ${title}`, () => {
			assert.match(toFaults(`${text}\nend: banyanport\n`)[0]!, fault);
		});
	}

	it('refuses YAML that is too large for the memory of hosts, and reads it when the limit is raised', () => {
		const large = `${`# ${'x'.repeat(98)}\n`.repeat(700)}${validText}`;
		assert.deepEqual(toFaults(large), ['rules.yaml:1:1: YAML of more than 65536 bytes is too large for hosts; publish it as JSON, written by "banyanport seal --to json"']);
		assert.ok(parseConfig(large, {maxYamlBytes: Infinity}).isOk());
	});

	it('names the path of a fault in JSON that is too large for the YAML parser', () => {
		const blanks = ' '.repeat(70_000);
		const faults = toFaults(`{${blanks}"zones": [{"id": "a", "region": "r"}, {"id": "a", "region": "r"}], "end": "banyanport"}`);
		assert.ok(faults.some(fault => fault.startsWith('rules.yaml:1:1: zones 2 id: "a" is already the id of entry 1')), faults.join('\n'));
		assert.match(toFaults(`{${blanks}"a": 1, "a": 1, "end": "banyanport"}`)[0]!, /the JSON is broken: a key appears twice/);
	});

	it('reports the first 200 faults and the number of further ones', () => {
		const faults = toFaults(`${Array.from({length: 2000}, (_, i) => `k${i}: 1`).join('\n')}\nend: banyanport\n`);
		assert.equal(faults.length, 201);
		assert.match(faults.at(-1)!, /: 1805 more faults were found; fix these first/);
	});

	it('returns faults and does not throw, for any invalid text', () => {
		const pieces = fc.constantFrom('zones:', '\n', ' ', '- ', '{', '}', '[', ']', '&a', '*a', ':', 'rules', '"', '\'', '\t', '<<: ', '!!set', '|', 'end: banyanport', '1', '\0');
		fc.assert(fc.property(fc.array(fc.oneof(pieces, fc.string()), {maxLength: 30}), parts => {
			assert.ok(parseConfig(parts.join('')).isErr());
		}));
	});
});
