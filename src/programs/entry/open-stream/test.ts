import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLog} from '../../../adapters/log/index.js';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {toStreamKey} from '../../../domain/to-stream-key/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Rule, type ServerEntry} from '../../../ports/config.js';
import {type PassedRequest} from '../../../ports/reach.js';
import {type Resumption} from '../../../ports/server-calls.js';
import {type OriginRecord, type StreamOrigin} from '../../../ports/stream-origins.js';
import {type Account} from '../accounts/index.js';
import {type Route} from '../_lib/route.js';
import {type ServeContext} from '../_lib/serve-types.js';
import {openStream} from './index.js';

const v1: StreamOrigin = {pool: 'letters', softwareVersion: 'v1'};
const v2: StreamOrigin = {pool: 'letters', softwareVersion: 'v2'};
const log = createLog({
	level: 'error', program: 'test', host: 'h', zone: 'z', incarnation: 1, sink: {write: () => true, writableLength: 0, on: () => undefined},
});

const toServer = (id: string, {pool, softwareVersion}: StreamOrigin): ServerEntry => ({
	id, zone: 'a', url: 'http://10.0.0.1:1', role: 'decode', pool, slots: 8, checksFence: false, ...(softwareVersion !== undefined && {softwareVersion}),
});

type Given = {
	resumption?: Resumption;
	passed?: PassedRequest;
	known?: Readonly<Record<string, StreamOrigin>>;
	servers?: readonly ServerEntry[];
	leaving?: readonly string[];
	split?: ReadonlyArray<{pool: string; weight: number}>;
	isResumable?: boolean;
	kind?: 'model' | 'plain';
	workspace?: string;
};

function open(given: Given) {
	const {servers = [toServer('s1', v1), toServer('s2', v2)], leaving = [], workspace = 'w', kind = 'model'} = given;
	const recorded: OriginRecord[] = [];
	const counted: string[] = [];
	const pools = ['letters', 'scenes'].map(name => ({
		name, kind, model: 'm', version: undefined, adapters: [], classes: [],
	}));
	const view: unknown = {
		accepted: {version: {edition: 1, revision: 1, digest: ''}, config: {servers, pools}, text: ''},
		servers: new Map(servers.map(({id}) => [id, {id, leaving: leaving.includes(id)}])),
	};
	const services: unknown = {clock: {now: () => 0, wallNow: () => 0}, toView: () => view};
	const ctx: Partial<ServeContext> = {
		services: services as ServeContext['services'],
		streamOrigins: {
			note(record) {
				recorded.push(record);
			},
			find: async key => Object.entries(given.known ?? {}).find(([id]) => toStreamKey(workspace, id) === key)?.[1],
		},
		countStream(end) {
			counted.push(end);
		},
	};
	const rule: unknown = {
		name: 'r', then: {pool: 'letters', target: {completeMs: 14_000}, relay: {isResumable: given.isResumable ?? true, split: given.split ?? []}},
	};
	const account: unknown = {addStage: () => undefined};
	const opening = openStream({
		exchange: {requestId: 'own', headers: {}, ...(given.passed && {passed: given.passed})} as unknown as CallerExchange,
		route: {workspace, rule: rule as Rule, pool: pools[0]!} as unknown as Route,
		work: {
			timeoutMs: 9000, model: undefined, promptTokens: 0, maxTokens: 0, sharedParts: [], estimatedTokens: undefined, ...(given.resumption && {resumption: given.resumption}),
		},
		ctx: ctx as ServeContext,
		account: account as Account,
		log,
	});
	return {opening, recorded, counted};
}

async function openOne(given: Given) {
	const opened = await open(given).opening;
	return opened._unsafeUnwrap();
}

async function refuse(given: Given): Promise<Problem> {
	const opened = await open(given).opening;
	return opened._unsafeUnwrapErr();
}

const passed = {deadlineInMs: 1000, edition: 1, runs: 0};

describe('openStream', () => {
	it('lets any server begin a stream, and records it under the request\'s own id when an event is sent', async () => {
		const {opening, recorded} = open({});
		const opened = await opening;
		const {stream} = opened._unsafeUnwrap();
		assert.equal(stream.origin(), undefined);
		assert.deepEqual(recorded, []);
		stream.noteEvents(v2);
		stream.noteEvents(v2);
		assert.deepEqual(recorded, [{key: toStreamKey('w', 'own'), origin: v2, lifeMs: 23_000}]);
	});

	it('continues a stream at the origin that is known, and records it again under the id that began it', async () => {
		const {opening, recorded, counted} = open({resumption: {resumes: 'first', lastEventId: '3'}, known: {first: v1}});
		const opened = await opening;
		const {stream} = opened._unsafeUnwrap();
		assert.deepEqual(stream.origin(), v1);
		stream.noteEvents(v1);
		assert.equal(recorded[0]?.key, toStreamKey('w', 'first'));
		assert.deepEqual(counted, ['found', 'recorded']);
	});

	// Guards against a stream that is joined from two versions because the host guesses, and against refusals of streams that do not go on at all.
	const unknown: ReadonlyArray<{what: string; given: Given}> = [
		{what: 'no host knows', given: {resumption: {resumes: 'other', lastEventId: '3'}, known: {first: v1}}},
		{what: 'the caller does not name', given: {resumption: {resumes: undefined, lastEventId: '3'}, known: {first: v1}}},
		{what: 'the caller names twice', given: {resumption: {resumes: 'first, first', lastEventId: '3'}, known: {first: v1}}},
		{what: 'the caller names by an empty id', given: {resumption: {resumes: '', lastEventId: '3'}, known: {first: v1}}},
		{what: 'the caller names by an endless id', given: {resumption: {resumes: 'r'.repeat(129), lastEventId: '3'}, known: {['r'.repeat(129)]: v1}}},
		{what: 'an older host passed on without its origin', given: {passed, resumption: {resumes: undefined, lastEventId: '3'}}},
		{what: 'the caller names although its rule does not allow it', given: {resumption: {resumes: 'other', lastEventId: undefined}, isResumable: false}},
	];
	for (const {what, given} of unknown) {
		it(`refuses a stream that ${what}, as not run, and says when to come back`, async () => {
			const problem = await refuse(given);
			assert.deepEqual([problem.kind, problem.outcome, problem.retryAfterMs], ['origin-unknown', 'not-run', 1000]);
		});
	}

	it('lets any server serve a request with an event id whose rule lets no stream be resumed', async () => {
		const {stream} = await openOne({resumption: {resumes: undefined, lastEventId: '3'}, isResumable: false});
		assert.equal(stream.origin(), undefined);
	});

	it('lets a plain service serve a request that names a stream', async () => {
		const {stream} = await openOne({resumption: {resumes: 'other', lastEventId: undefined}, isResumable: false, kind: 'plain'});
		assert.equal(stream.origin(), undefined);
	});

	const gone: ReadonlyArray<{what: string; given: Given}> = [
		{what: 'has no server left', given: {servers: [toServer('s2', v2)]}},
		{what: 'has only leaving servers left', given: {leaving: ['s1']}},
		{what: 'has only prefill servers left', given: {servers: [{...toServer('s1', v1), role: 'prefill'}, toServer('s2', v2)]}},
	];
	for (const {what, given} of gone) {
		it(`refuses a stream whose version ${what}, as not run, and without a time to come back`, async () => {
			const problem = await refuse({...given, resumption: {resumes: 'first', lastEventId: '3'}, known: {first: v1}});
			assert.deepEqual([problem.kind, problem.outcome, problem.retryAfterMs], ['origin-gone', 'not-run', undefined]);
		});
	}

	it('continues in the pool that began the stream, among those of the rule', async () => {
		const scenes = {pool: 'scenes', softwareVersion: 'v1'};
		const given: Given = {resumption: {resumes: 'first', lastEventId: '3'}, known: {first: scenes}, servers: [toServer('s1', v1), toServer('s3', scenes)]};
		const split = [{pool: 'letters', weight: 1}, {pool: 'scenes', weight: 1}];
		const {route} = await openOne({...given, split});
		assert.equal(route.pool.name, 'scenes');
		const problem = await refuse(given);
		assert.equal(problem.kind, 'origin-gone');
	});

	it('goes by what the host tells that passed the request on, and records nothing itself', async () => {
		const begun = open({passed: {...passed, stream: {origin: v1}}});
		const opened = await begun.opening;
		const {stream} = opened._unsafeUnwrap();
		assert.deepEqual(stream.origin(), v1);
		stream.noteEvents(v1);
		assert.deepEqual(begun.recorded, []);
		const fresh = await openOne({passed: {...passed, stream: {origin: undefined}}, resumption: {resumes: undefined, lastEventId: '0'}});
		assert.equal(fresh.stream.origin(), undefined);
	});

	// Guards against a workspace that learns of or binds the stream of another by using its request id.
	it('does not know the streams of another workspace', async () => {
		const first = toStreamKey('w', 'first');
		assert.notEqual(first, toStreamKey('v', 'first'));
		const problem = await refuse({resumption: {resumes: 'first', lastEventId: '3'}, known: {}, workspace: 'v'});
		assert.equal(problem.kind, 'origin-unknown');
	});
});
