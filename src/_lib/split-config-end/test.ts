import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {splitConfigEnd} from './index.js';

describe('splitConfigEnd', () => {
	const hex = 'a'.repeat(64);
	const cases: Array<[title: string, text: string, kind: string, edition?: number]> = [
		['a plain mark', 'zones: []\nend: banyanport\n', 'plain', 0],
		['a plain mark in quotes with CRLF', 'zones: []\r\nend: "banyanport"\r\n', 'plain', 0],
		['a plain mark with an edition', 'zones: []\nedition: 7\nend: banyanport\n', 'plain', 7],
		['a plain mark in JSON', '{"zones": [], "end": "banyanport"}', 'plain', 0],
		['an edition in JSON', '{"zones": [], "edition": 7, "end": "banyanport"}', 'plain', 7],
		['a seal', `zones: []\nedition: 3\nfollows: none\nend: sealed-${hex}\n`, 'sealed', 3],
		['a seal in JSON', `{"zones": [],\n"edition": 3,\n"follows": "${hex}",\n"end": "sealed-${hex}"}\n`, 'sealed', 3],
		['a seal without its last line break', `zones: []\nedition: 3\nfollows: none\nend: sealed-${hex}`, 'missing'],
		['a mark that is indented', 'zones: []\n  end: banyanport\n', 'missing'],
		['a mark that is not last', 'end: banyanport\nzones: []\n', 'missing'],
		['a short mark', 'zones: []\nend: banyanpor', 'missing'],
		['nothing', '', 'missing'],
		['a mark after a long body', `${'# long\n'.repeat(1000)}end: banyanport\n`, 'plain', 0],
		['a mark after one long line', `{"a": "${'x'.repeat(5000)}", "end": "banyanport"}`, 'plain', 0],
	];
	for (const [title, text, kind, edition] of cases) {
		it(`reads ${title}`, () => {
			const end = splitConfigEnd(text);
			assert.equal(end.kind, kind);
			assert.equal(end.kind === 'missing' ? undefined : end.edition, edition);
			assert.equal(end.kind === 'missing' ? '' : end.body, text.slice(0, end.kind === 'missing' ? 0 : end.body.length));
		});
	}
});
