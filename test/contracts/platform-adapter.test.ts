/** Tests of the adapter for the users' platform with valid and invalid documents and headers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createServerCalls} from '../../platform/server-calls.js';
import {toDigest} from '../../src/_lib/to-digest/index.js';
import {toPublishedRules} from '../../platform/to-rules.js';
import {toPublishedServer} from '../../platform/to-server.js';
import {type ServerEntry} from '../../src/ports/config.js';
import {withStore} from './_lib/with-store.js';

const calls = createServerCalls(() => {
	throw new Error('these tests must not send a call');
}, {onNotice: () => undefined});

const server: ServerEntry = {
	id: 'i-1', zone: 'a', url: 'http://10.0.0.1:80', role: 'decode', pool: 'p', slots: 8, checksFence: false,
};

const route = (name: string, prefix: string, over: Record<string, unknown> = {}) => ({
	name, host: 'Desk.Example', prefix, kind: 'unsafe', service: 's', max_attempts: 1, ...over,
});

describe('rules of the platform', () => {
	it('are ordered by the longest prefix, with the host in lower case', () => {
		const text = JSON.stringify({version: 3, routes: [route('short', '/a/'), route('long', '/a/b/')], services: [{name: 's'}]});
		const rules = toPublishedRules(text)._unsafeUnwrap();
		assert.deepEqual(rules.rules.map(({name}) => name), ['long', 'short']);
		assert.equal(rules.rules[0]!.when.host, 'desk.example');
		assert.equal(rules.version, 3);
	});

	const repeatable: ReadonlyArray<{over: Record<string, unknown>; expected: boolean}> = [
		{over: {kind: 'safe'}, expected: true},
		{over: {kind: 'unsafe'}, expected: false},
		{over: {kind: 'unsafe', resumable: true}, expected: false},
		{over: {kind: 'stream'}, expected: false},
		{over: {kind: 'stream', resumable: true}, expected: true},
	];
	for (const {over, expected} of repeatable) {
		it(`${JSON.stringify(over)} may ${expected ? '' : 'not '}be repeated`, () => {
			const text = JSON.stringify({version: 1, routes: [route('r', '/a/', over)], services: []});
			const [rule] = toPublishedRules(text)._unsafeUnwrap().rules;
			assert.equal(rule?.then.repeatable, expected);
		});
	}

	it('get their class from the priorities within one service', () => {
		const text = JSON.stringify({version: 1, routes: [route('first', '/a/', {priority: 1}), route('second', '/b/', {priority: 2}), route('other', '/c/', {priority: 2, service: 't'})], services: []});
		const classes = Object.fromEntries(toPublishedRules(text)._unsafeUnwrap().rules.map(({name, then}) => [name, then.class]));
		assert.deepEqual(classes, {first: 'quick', second: 'batch', other: 'quick'});
	});

	it('are an error, and never an exception, for any other document', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.json().map(text => `{"version":1,"routes":[${text}],"services":[]}`)), text => {
			assert.equal(typeof toPublishedRules(text).isOk(), 'boolean');
			assert.equal(typeof toPublishedServer('i', text).isOk(), 'boolean');
		}));
	});
});

describe('limits of the platform', () => {
	const read = (limits?: Record<string, unknown>) => toPublishedRules(JSON.stringify({
		version: 1, routes: [], services: [], ...(limits && {limits}),
	}));

	it('are all applied, and each may be absent', () => {
		const limits = {
			header_bytes: 32_768, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		};
		assert.deepEqual(read(limits)._unsafeUnwrap().callers, {
			maxHeaderBytes: 32_768, maxBodyBytes: 4_194_304, headersTimeoutMs: 3000, keepAliveTimeoutMs: 15_000,
		});
		for (const name of Object.keys(limits)) {
			assert.equal(Object.keys(read({...limits, [name]: undefined})._unsafeUnwrap().callers ?? {}).length, 3, name);
		}

		assert.equal(read()._unsafeUnwrap().callers, undefined);
	});

	// Guards against a limit that is neither applied nor refused.
	it('make the configuration unreadable if they can\'t be applied (property)', () => {
		const name = fc.constantFrom('header_bytes', 'max_body_bytes', 'header_timeout_ms', 'idle_timeout_ms');
		fc.assert(fc.property(name, fc.jsonValue().filter(value => !Number.isSafeInteger(value) || Number(value) < 1), (limit, value) => {
			assert.ok(read({[limit]: value}).isErr());
		}));
		assert.ok(read({header_bytes: 1024 ** 4}).isErr());
	});
});

describe('tenants of the platform', () => {
	const read = (...tenants: Array<Record<string, unknown>>) => toPublishedRules(JSON.stringify({
		version: 1, routes: [], services: [], tenants,
	}))._unsafeUnwrap().workspaces!;

	it('become workspaces that are known by digests of their keys', () => {
		const {callerTokens} = read({name: 'a', api_keys: ['k1', 'k2']}, {name: 'b', api_keys: ['k3']});
		assert.deepEqual(callerTokens, {[toDigest('k1')]: 'a', [toDigest('k2')]: 'a', [toDigest('k3')]: 'b'});
	});

	it('stay known as workspaces after their last key was taken away', () => {
		assert.deepEqual(read({name: 'a', api_keys: []}), {callerTokens: {}, workspaces: {a: {}}});
	});

	it('have a limit in tokens or requests, and none without a rate', () => {
		const {workspaces} = read(
			{
				name: 'a', unit: 'token_stream', plain_tokens: 200, rate_per_s: 9000, burst: 18_000,
			},
			{name: 'b', rate_per_s: 5, burst: 0},
			{name: 'c', rate_per_s: 0, burst: 7},
		);
		assert.deepEqual(workspaces, {
			a: {
				limit: {
					unit: 'tokens', perSecond: 9000, burst: 18_000, unstatedTokens: 200,
				},
			},
			b: {
				limit: {
					unit: 'requests', perSecond: 5, burst: 0, unstatedTokens: 0,
				},
			},
			c: {},
		});
	});

	it('have the class quick with the highest priority of all, and batch with any other', () => {
		const {workspaces} = read({name: 'a', priority: 1}, {name: 'b', priority: 2}, {name: 'c'});
		assert.deepEqual(workspaces, {a: {class: 'quick'}, b: {class: 'batch'}, c: {}});
	});
});

describe('entries of the platform\'s servers', () => {
	const proper = {
		service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, state: 'ready', sequence: 1,
	};
	const read = (over: Record<string, unknown>, name = 'i-1') => toPublishedServer(name, JSON.stringify({...proper, ...over}));

	it('have an id for each start of a server, while calls use the name that stays', () => {
		const first = read({born: 1_700_000_000_000})._unsafeUnwrap();
		const second = read({born: 1_700_000_009_000})._unsafeUnwrap();
		assert.notEqual(first.entry.id, second.entry.id);
		const headers = calls.toHeaders({
			headers: {}, workspace: 'w', isAuthenticated: false, requestId: 'r', server: second.entry, step: {kind: 'whole', lastEventId: undefined}, deadlineInMs: 9,
		});
		assert.equal(headers['expect-instance'], 'i-1');
	});

	it('have the version of the server\'s software if it is published', () => {
		assert.equal(read({version: 'v1.2', models: [{name: 'm', version: 7}]})._unsafeUnwrap().entry.softwareVersion, 'v1.2');
		assert.equal(read({})._unsafeUnwrap().entry.softwareVersion, undefined);
	});

	it('have the number of their write, and are usable with any other value of it', () => {
		assert.equal(read({sequence: 41})._unsafeUnwrap().sequence, 41);
		for (const sequence of [undefined, null, '41', -1, 1.5, 2 ** 53]) {
			assert.equal(read({sequence})._unsafeUnwrap().sequence, undefined, String(sequence));
		}
	});

	const broken: Readonly<Record<string, readonly unknown[]>> = {
		address: [undefined, '10.0.0.1', '10.0.0.1:0', '10.0.0.1:70000', 'desk:80', '10.0.0.1:80/x', '10.0.0.1:80:80'],
		slots: [undefined, 0, -4, 1.5, '4'],
		state: [undefined, 'gone', true],
		stage: ['both', null],
		service: [undefined, 7],
		zone: [undefined, ''],
		version: ['', 7, null, 'v'.repeat(129)],
		born: [1.5, '1', -1],
	};
	for (const [field, values] of Object.entries(broken)) {
		it(`are refused with an invalid ${field}`, () => {
			for (const value of values) {
				assert.ok(read({[field]: value}).isErr(), String(value));
			}
		});
	}

	it('are refused with an id that is not valid in a header', () => {
		assert.ok(read({}, 'i\n1').isErr());
		assert.ok(read({}, '').isErr());
	});

	it('are usable or refused, whatever their fields contain (property)', () => {
		const fields = fc.record(Object.fromEntries(['service', 'address', 'zone', 'slots', 'state', 'stage', 'born'].map(name => [name, fc.jsonValue()])), {requiredKeys: []});
		fc.assert(fc.property(fields, over => {
			const server = read(over);
			if (server.isOk()) {
				const {entry} = server.value;
				assert.equal(new URL(entry.url).pathname, '/');
				assert.ok(Number.isSafeInteger(entry.slots) && entry.slots > 0);
			}
		}));
	});
});

describe('headers of the platform', () => {
	const own = {
		authorization: 'Bearer k', tenant: 'x', stage: 'prefill', 'kv-source': 'x', 'kv-hold': 'x', 'kv-backup': 'x', 'kv-fetch': 'x', 'pin-ms': '1', 'expect-instance': 'x', 'expect-version': '1', 'request-urgency': '0',
	};

	it('that only banyanport sets are never taken from a caller', () => {
		const headers = calls.toHeaders({
			headers: {...own, 'x-kept': '1'}, workspace: 'w', isAuthenticated: false, requestId: 'r', server, step: {kind: 'whole', lastEventId: undefined}, deadlineInMs: 99.9,
		});
		assert.deepEqual(headers, {'x-kept': '1', 'deadline-ms': '99', 'expect-instance': 'i-1'});
	});

	it('name the workspace whose key the caller sent, in place of any name from the caller', () => {
		const headers = calls.toHeaders({
			headers: {authorization: 'Bearer k', tenant: 'another'}, workspace: 'naslovnik', isAuthenticated: true, requestId: 'r', server, step: {kind: 'whole', lastEventId: undefined}, deadlineInMs: 9,
		});
		assert.deepEqual(headers, {tenant: 'naslovnik', 'deadline-ms': '9', 'expect-instance': 'i-1'});
	});

	it('are parsed to hints, which stay finite and non-negative for any values', () => {
		assert.deepEqual(calls.parseHints({
			'token-count': '1460,80', 'length-hint': '40', 'deadline-ms': '1000', model: 'm',
		}), {
			timeoutMs: 1000, model: 'm', promptTokens: 1460, maxTokens: 80, sharedParts: [], estimatedTokens: 40,
		});
		fc.assert(fc.property(fc.string(), fc.string(), fc.string(), (tokens, hint, deadline) => {
			const work = calls.parseHints({'token-count': tokens, 'length-hint': hint, 'deadline-ms': deadline});
			for (const value of [work.promptTokens, work.maxTokens, work.estimatedTokens ?? 0, work.timeoutMs ?? 0]) {
				assert.ok(Number.isFinite(value) && value >= 0);
			}
		}));
	});

	it('name the parts of a prompt that requests share: all but the last, once each, without what is malformed', () => {
		const toParts = (prefix: string | undefined) => calls.parseHints({...(prefix !== undefined && {'prompt-prefix': prefix})}).sharedParts;
		assert.deepEqual(toParts('5c1e07a2:800,91bd3f06:410,e4402b7d:250'), ['5c1e07a2', '91bd3f06']);
		assert.deepEqual(toParts('a:1, b:2 ,a:3,c:4'), ['a', 'b']);
		assert.deepEqual(['e4402b7d:250', '', ',', undefined].map(prefix => toParts(prefix)), [[], [], [], []]);
		assert.deepEqual(toParts(`a:1,,:5,a b:1,${'x'.repeat(65)}:1,b,c:1`), ['a', 'b']);
		assert.equal(toParts(Array.from({length: 5000}, (_, i) => `${i}:1`).join(',')).length, 64);
		fc.assert(fc.property(fc.string(), prefix => {
			assert.ok(toParts(prefix).every(id => id.length <= 64));
		}));
	});

	it('name the stream that a request continues, and nothing for a request that begins one', () => {
		assert.deepEqual(calls.parseHints({resumes: '9c41', 'last-event-id': '17'}).resumption, {resumes: '9c41', lastEventId: '17'});
		assert.deepEqual(calls.parseHints({'last-event-id': '17'}).resumption, {resumes: undefined, lastEventId: '17'});
		assert.deepEqual(calls.parseHints({resumes: '9c41'}).resumption, {resumes: '9c41', lastEventId: undefined});
		assert.equal(calls.parseHints({model: 'm'}).resumption, undefined);
	});

	it('reads how many requests a second a server takes', () => {
		const cases: ReadonlyArray<[string | string[] | undefined, number | 'none' | 'unreadable']> = [
			[undefined, 'none'],
			['4.8', 4.8],
			['0', 0],
			['1e9', 1e9],
			['4.8, 1.9', 1.9],
			[['4.8', '1.9'], 1.9],
			['many, 1.9', 1.9],
			['-1', 'unreadable'],
			['', 'unreadable'],
			['many', 'unreadable'],
			['Infinity', 'unreadable'],
		];
		for (const [header, limit] of cases) {
			for (const status of [200, 500, 503]) {
				assert.equal(calls.readLimit!(status, {'server-limit': header}), limit, `${status} ${String(header)}`);
			}
		}

		assert.equal(calls.readLimit!(421, {'server-limit': '4.8'}), undefined, 'another server answered');
	});

	it('announce that a server is leaving, with any status except 421, which comes from another instance', () => {
		const leaving = {'server-leaving': '1'};
		for (const status of [200, 500, 503]) {
			assert.deepEqual(calls.readNotice!(status, leaving), {isLeaving: true, backoffMs: undefined});
			assert.equal(calls.readNotice!(status, {}), undefined);
		}

		assert.equal(calls.readNotice!(421, leaving), undefined);
	});

	it('give a backoff only with 503 and a valid retry-after', () => {
		assert.deepEqual(calls.readNotice!(503, {'retry-after': '2.5'}), {isLeaving: false, backoffMs: 2500});
		for (const [status, retryAfter] of [[200, '2'], [421, '2'], [500, '2'], [503, '0'], [503, '-1'], [503, 'soon'], [503, ''], [503, ['1', '2']]] as const) {
			assert.equal(calls.readNotice!(status, {'retry-after': retryAfter as string}), undefined, `${status} ${String(retryAfter)}`);
		}
	});

	it('give a refusal only if the server says that it did not run the call', () => {
		assert.equal(calls.toRefusal(503, {'not-executed': '1'}), 'full');
		assert.equal(calls.toRefusal(421, {}), 'wrong-model');
		for (const status of [200, 429, 500, 503, 504]) {
			assert.equal(calls.toRefusal(status, {}), undefined);
		}
	});
});

describe('eras of the store', () => {
	const {signal} = new AbortController();
	const at = {era: undefined, revision: 1};
	const list = (revision: number, isTruncated = false) => ({items: [{key: `servers/i-${revision}`, value: ''}], truncated: isTruncated, current_rev: revision});

	it('are read from each answer, also from failures', async () => {
		const headers = {'store-era': '7'};
		const read = await withStore([{headers, body: list(4)}], async source => source.list(signal));
		assert.deepEqual(read._unsafeUnwrap().position, {era: 7, revision: 4});
		for (const status of [410, 429, 503]) {
			const failed = await withStore([{status, headers}], async source => source.watch(at, 1, signal));
			assert.equal(failed._unsafeUnwrapErr().era, 7, String(status));
		}
	});

	it('are undefined if the store sends none or an invalid one', async () => {
		for (const headers of [{}, {'store-era': ''}, {'store-era': 'x'}, {'store-era': '-1'}, {'store-era': '1.5'}] as Array<Record<string, string>>) {
			const read = await withStore([{headers, body: {events: [], current_rev: 9}}], async source => source.watch(at, 1, signal));
			assert.deepEqual(read._unsafeUnwrap().position, {era: undefined, revision: 9});
		}
	});

	it('are never mixed in the pages of one list', async () => {
		const read = await withStore([{headers: {'store-era': '1'}, body: list(4, true)}, {headers: {'store-era': '2'}, body: list(2)}], async source => source.list(signal));
		assert.deepEqual([read._unsafeUnwrapErr().kind, read._unsafeUnwrapErr().era], ['forgotten', 2]);
	});
});
