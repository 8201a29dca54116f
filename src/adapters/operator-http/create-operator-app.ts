import {createHash, timingSafeEqual} from 'node:crypto';
// Hono's small preset: this port has few routes, and the agent's memory must stay small.
import {Hono} from 'hono/tiny';
import {type RequestId} from '../../ports/ids.js';

/** A reason why a process is not ready, or a warning while it is ready, with its remedy. */
export type ReadinessReason = {reason: string; remedy?: string | undefined};

export type Readiness = {
	ready: boolean;
	/** Why the process is not ready; warnings while it is ready. */
	reasons: readonly ReadinessReason[];
};

/** Sources of the port's documents. Each function is called for each request and must be fast. */
export type OperatorSources = {
	/** Whether the process works at all; without this function, a process that answers is healthy. */
	health?: () => {healthy: boolean; reasons: readonly ReadinessReason[]};
	readiness: () => Readiness;
	/** Metrics in the Prometheus text format. */
	metrics: () => string;
	/** Status document, sent as JSON. */
	status: () => unknown;
	/** Burn report, as a document for JSON and as an HTML page. */
	slo?: {toDocument: () => unknown; toPage: () => string};
	/** Account of a request; `undefined` when none is kept. */
	explain?: (requestId: RequestId) => unknown;
	/** Token that every request must carry. */
	token?: string | undefined;
	/** Called when a source threw. */
	onFault?: (path: string, error: unknown) => void;
};

type ProblemKind = 'unauthorized' | 'not-found' | 'method-not-allowed' | 'internal';

const problems: Readonly<Record<ProblemKind, {status: 401 | 404 | 405 | 500; title: string}>> = {
	unauthorized: {status: 401, title: 'The operator is not known'},
	'not-found': {status: 404, title: 'There is nothing at this path'},
	'method-not-allowed': {status: 405, title: 'The method is not allowed here'},
	internal: {status: 500, title: 'The report failed'},
};

/** Pages are self-contained: no scripts, and no resources from elsewhere. */
const pagePolicy = 'default-src \'none\'; style-src \'unsafe-inline\'; base-uri \'none\'; form-action \'none\'; frame-ancestors \'none\'';

/**
 * Creates the routes of the operators' port.
 *
 * @param sources - Sources of the documents, and the token that requests must carry.
 * @returns The application. Its routes are read-only.
 */
export function createOperatorApp(sources: OperatorSources): Hono {
	const app = new Hono();
	const isOperator = createTokenCheck(sources.token);

	app.use('*', async (context, next) => {
		if (!isOperator(context.req.header('authorization'))) {
			const refusal = toProblemResponse('unauthorized', 'Send the operators\' token as "Authorization: Bearer".');
			refusal.headers.set('www-authenticate', 'Bearer');
			return refusal;
		}

		if (context.req.method !== 'GET' && context.req.method !== 'HEAD') {
			const refusal = toProblemResponse('method-not-allowed', 'This port is read-only; use GET.');
			refusal.headers.set('allow', 'GET, HEAD');
			return refusal;
		}

		await next();
		context.res.headers.set('cache-control', 'no-store');
		context.res.headers.set('x-content-type-options', 'nosniff');
		return undefined;
	});

	app.get('/health', () => {
		const {healthy, reasons} = sources.health?.() ?? {healthy: true, reasons: []};
		return toJsonResponse({healthy, reasons}, healthy ? 200 : 503);
	});
	app.get('/ready', () => {
		const {ready, reasons} = sources.readiness();
		return toJsonResponse({ready, reasons}, ready ? 200 : 503);
	});
	app.get('/metrics', () => new Response(sources.metrics(), {headers: {'content-type': 'text/plain; version=0.0.4; charset=utf-8'}}));
	app.get('/status', () => toJsonResponse(sources.status()));

	const {slo, explain} = sources;
	if (slo !== undefined) {
		app.get('/slo', context => {
			const wantsPage = context.req.header('accept')?.includes('text/html') === true;
			return wantsPage ? toPageResponse(slo.toPage()) : toJsonResponse(slo.toDocument());
		});
	}

	if (explain !== undefined) {
		app.get('/explain/:requestId', context => {
			const account = explain(context.req.param('requestId'));
			return account === undefined
				? toProblemResponse('not-found', 'No account of this request is kept here: it is too old, or another host answered it.')
				: toJsonResponse(account);
		});
	}

	app.notFound(() => {
		const paths = ['/health', '/ready', '/metrics', '/status', ...slo === undefined ? [] : ['/slo'], ...explain === undefined ? [] : ['/explain/{requestId}']];
		return toProblemResponse('not-found', `Ask for one of ${paths.join(', ')}.`);
	});
	app.onError((error, context) => {
		sources.onFault?.(context.req.path, error);
		return toProblemResponse('internal', 'A report failed; the log has the cause.');
	});
	return app;
}

/** Creates the check of the token. It compares digests in constant time, so that the response time reveals neither the length nor a prefix of the token. */
function createTokenCheck(token: string | undefined): (header: string | undefined) => boolean {
	if (token === undefined) {
		return () => true;
	}

	const expected = toDigest(token);
	return header => timingSafeEqual(toDigest(header?.replace(/^bearer +/i, '') ?? ''), expected);
}

function toDigest(text: string): Buffer {
	return createHash('sha256').update(text).digest();
}

function toJsonResponse(document: unknown, status = 200): Response {
	return new Response(`${JSON.stringify(document)}\n`, {status, headers: {'content-type': 'application/json'}});
}

function toPageResponse(page: string): Response {
	return new Response(page, {headers: {'content-type': 'text/html; charset=utf-8', 'content-security-policy': pagePolicy}});
}

function toProblemResponse(kind: ProblemKind, detail: string): Response {
	const {status, title} = problems[kind];
	const body = JSON.stringify({
		type: `urn:banyanport:problem:${kind}`, title, status, detail,
	});
	return new Response(body, {status, headers: {'content-type': 'application/problem+json'}});
}
