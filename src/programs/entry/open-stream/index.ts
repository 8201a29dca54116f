/**
 * Finds where the stream of a request may run. A request that continues a stream
 * goes only to servers of the pool and software version that began it: no server
 * checks that, and its caller would receive parts that do not fit together.
 */
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {toStreamKey} from '../../../domain/to-stream-key/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId} from '../../../ports/ids.js';
import {type RequestHints, type Resumption} from '../../../ports/server-calls.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {msPerMinute, msPerSecond} from '../../../ports/units.js';
import {type Account} from '../accounts/index.js';
import {createRunStream, type RunStream} from '../_lib/create-run-stream.js';
import {hasServerOf, toOriginGone} from '../_lib/servers-of-origin.js';
import {type Route} from '../_lib/route.js';
import {type ServeContext} from '../_lib/serve-types.js';

/** Longest id under which a caller may name a stream; hosts accept no longer request ids. */
const maxIdLength = 128;

/** Bound on the time for which the origin of a stream is kept. */
const maxLifeMs: Milliseconds = 10 * msPerMinute;

/** Delay after which a caller may ask again; another host, or a host that is reached again, may know the stream. */
const unknownRetryAfterMs: Milliseconds = msPerSecond;

export type OpenStreamInput = {
	exchange: CallerExchange;
	route: Route;
	/** Hints from the caller's headers. */
	work: RequestHints;
	ctx: ServeContext;
	account: Account;
	log: Log;
};

/** A stream, and the route with the pool in which it began. */
export type OpenedStream = {stream: RunStream; route: Route};

/** Returns what the caller states about the stream that it continues; `undefined` for a request that begins one. Without a rule that lets streams be resumed, an event id alone says nothing, and a plain service has no streams that servers continue. */
function toResumption({resumption}: RequestHints, {rule, pool}: Route): Resumption | undefined {
	const {relay} = rule.then;
	const isNamed = resumption?.resumes !== undefined && pool.kind === 'model';
	return relay !== undefined && (relay.isResumable || isNamed) ? resumption : undefined;
}

const unknownOrigin: Problem = {
	kind: 'origin-unknown',
	detail: 'This host does not know which servers began the stream. Name in Resumes the id of the request whose answer brought its first event, or send the request without Last-Event-Id to begin a new stream.',
	outcome: 'not-run',
	retryAfterMs: unknownRetryAfterMs,
};

async function findNamed({resumes}: Resumption, {route, ctx}: OpenStreamInput): Promise<StreamOrigin | undefined> {
	return resumes === undefined || resumes.length > maxIdLength
		? undefined
		: ctx.streamOrigins?.find(toStreamKey(route.workspace, resumes));
}

/** Finds the origin of the stream that a caller of this host continues. */
async function findOrigin(resumption: Resumption, input: OpenStreamInput): Promise<Result<StreamOrigin, Problem>> {
	const {ctx, account, log} = input;
	const {clock} = ctx.services;
	const askedAt = clock.now();
	const origin = await findNamed(resumption, input);
	const durationMs = Math.round(clock.now() - askedAt);
	account.addStage('stream resumed', {...resumption, ...origin, tookMs: durationMs});
	if (origin === undefined) {
		ctx.countStream('unknown');
		log.info('stream origin unknown', {...resumption, durationMs});
		return err(unknownOrigin);
	}

	ctx.countStream('found');
	log.info('stream origin found', {...resumption, ...origin, durationMs});
	return ok(origin);
}

/** Sets the pool of a route to the one in which the stream began, if its rule still leads there. */
function toRouteInPoolOf(origin: StreamOrigin, {route, ctx}: OpenStreamInput): Route | undefined {
	const {relay, pool} = route.rule.then;
	const targets = relay === undefined || relay.split.length === 0 ? [pool] : relay.split.map(part => part.pool);
	const entry = targets.includes(origin.pool) ? ctx.services.toView()?.accepted?.config.pools.find(({name}) => name === origin.pool) : undefined;
	return entry && {...route, pool: entry};
}

function toLifeMs({route, work}: OpenStreamInput): Milliseconds {
	const {completeMs} = route.rule.then.target;
	return Math.min(maxLifeMs, completeMs + (work.timeoutMs ?? completeMs));
}

/** Returns the function that tells other hosts where the stream began. The host that answers the caller does so, not one to which the request was passed on. */
function toRecord(input: OpenStreamInput, began: RequestId): ((origin: StreamOrigin) => void) | undefined {
	const {
		exchange, route, ctx, log,
	} = input;
	if (exchange.passed !== undefined) {
		return undefined;
	}

	const key = toStreamKey(route.workspace, began);
	return origin => {
		ctx.countStream('recorded');
		log.info(began === exchange.requestId ? 'stream began' : 'stream continued', {...origin});
		ctx.streamOrigins?.note({key, origin, lifeMs: toLifeMs(input)});
	};
}

function openAt(origin: StreamOrigin, input: OpenStreamInput, began: RequestId): Result<OpenedStream, Problem> {
	const {ctx, log} = input;
	const route = toRouteInPoolOf(origin, input);
	if (route === undefined || !hasServerOf(origin, ctx.services.toView())) {
		ctx.countStream('gone');
		log.info('no server of the stream\'s origin is left', {...origin});
		return err(toOriginGone(origin, 'not-run'));
	}

	return ok({stream: createRunStream({origin, record: toRecord(input, began)}), route});
}

/**
 * Opens the stream of a request.
 *
 * @param input - The request, its route, and the services of the entry.
 * @returns The stream and its route; a problem if the request continues a stream whose origin is unknown or gone.
 */
export async function openStream(input: OpenStreamInput): Promise<Result<OpenedStream, Problem>> {
	const {exchange, route, work} = input;
	const told = exchange.passed?.stream;
	const resumption = told === undefined ? toResumption(work, route) : undefined;
	const began = resumption?.resumes ?? exchange.requestId;
	if (told?.origin !== undefined) {
		return openAt(told.origin, input, began);
	}

	if (resumption !== undefined) {
		const origin = await findOrigin(resumption, input);
		return origin.andThen(found => openAt(found, input, began));
	}

	return ok({stream: createRunStream({origin: undefined, record: toRecord(input, began)}), route});
}
