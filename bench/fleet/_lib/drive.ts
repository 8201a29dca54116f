/** Sends seeded open-loop arrivals through the entries and records the result of each caller. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request, type Dispatcher} from 'undici';
import {isRecord} from '../../../src/_lib/is-record/index.js';
import {type Arrival, createRandom, toArrivals} from '../../admission/_lib/arrivals.js';
import {
	burst, cancelPart, deskSlots, deskTarget, deskWorkMs, type RunPlan, timeScale,
} from './plan.js';
import {type BenchDeployment} from './start-bench-fleet.js';

/** Result of one call; times are unscaled, as in the simulated fleet. */
export type CallerResult = {
	arrival: Arrival;
	isDesk: boolean;
	fate: 'good' | 'late' | 'refused' | 'failed' | 'caller-gone';
	/** Last segment of the problem type in the answer; `undefined` if there was no problem. */
	problem: string | undefined;
	hasRetryAfter: boolean;
	firstTokenMs: number | undefined;
	/** Time to the end of the answer or to the refusal. */
	endMs: number;
	requestId: string;
};

export type Windows = {warmupMs: number; horizonMs: number; endsAtMs: number};

const longestDrainMs = 12_000;

function toDeskArrivals({fleet, load}: RunPlan, {warmupMs, horizonMs, endsAtMs}: Windows, seed: number): Arrival[] {
	const random = createRandom(seed + 7);
	const places = deskSlots * fleet.desks.reduce((sum, count) => sum + count, 0);
	const arrivals: Arrival[] = [];
	for (let at = 0; at < endsAtMs;) {
		at -= Math.log(1 - random()) * deskWorkMs / places / load;
		arrivals.push({
			id: `d${arrivals.length}`, at, routerChoice: random(), pool: 'desk', class: 'quick', workspace: `w${Math.floor(random() * fleet.table.workspaces)}`,
			shape: {promptTokens: 50, outputTokens: 0, ...deskTarget}, leavesAt: random() < cancelPart ? at + (random() * 1.5 * deskWorkMs) : Infinity, isMeasured: at >= warmupMs && at < horizonMs,
		});
	}

	return arrivals;
}

/** Returns the arrivals of one run in order of time. */
export function toRunArrivals(plan: RunPlan, windows: Windows, seed: number): Array<{arrival: Arrival; isDesk: boolean}> {
	const arrivals = toArrivals({
		...windows, fleet: plan.fleet.table, load: plan.load, seed, cancelPart, burst: plan.fault === 'burst' ? burst : 1, slowFactor: 1,
	});
	return [
		...arrivals.map(arrival => ({arrival, isDesk: false})),
		...toDeskArrivals(plan, windows, seed).map(arrival => ({arrival, isDesk: true})),
	].sort((a, b) => a.arrival.at - b.arrival.at);
}

/** Returns a prompt that begins with its mark and shares no prefix block with any other request. */
function toPrompt(mark: string, tokens: number): string {
	return `${mark} `.repeat(Math.ceil(tokens * 4 / (mark.length + 1))).slice(0, tokens * 4);
}

function toProblem(text: string): string | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return isRecord(value) && typeof value.type === 'string' ? value.type.split(/[/:#]/).at(-1) : undefined;
	} catch {
		return undefined;
	}
}

type Sent = {arrival: Arrival; isDesk: boolean; runId: string};

function toCall({arrival, isDesk, runId}: Sent): {path: string; headers: Record<string, string>; body: string} {
	const headers = {'content-type': 'application/json', 'x-workspace': arrival.workspace};
	return isDesk
		? {path: '/desk/lookup', headers, body: JSON.stringify({address: arrival.id})}
		: {
			path: '/v1/completions',
			headers: {...headers, ...(arrival.class === 'quick' && {'x-service-class': 'quick'})},
			body: JSON.stringify({
				model: 'post-summary', prompt: toPrompt(`${runId}-${arrival.id}`, arrival.shape.promptTokens), max_tokens: arrival.shape.outputTokens, stream: true,
			}),
		};
}

function toFate({arrival, isDesk}: Sent, status: number, body: string, times: {firstTokenMs: number | undefined; endMs: number}): CallerResult['fate'] {
	if (status !== 200) {
		return status === 429 || status === 503 || status === 504 ? 'refused' : 'failed';
	}

	if (!isDesk && !body.includes('[DONE]')) {
		return 'failed';
	}

	const isInTime = (times.firstTokenMs ?? Infinity) <= arrival.shape.firstTokenMs && times.endMs <= arrival.shape.completeMs;
	return isInTime ? 'good' : 'late';
}

async function call(sent: Sent, urls: readonly string[], dispatcher: Dispatcher, signal: AbortSignal): Promise<CallerResult> {
	const {arrival, isDesk} = sent;
	const startedAt = performance.now();
	const toElapsed = (): number => (performance.now() - startedAt) * timeScale;
	const {path, ...init} = toCall(sent);
	const leave = AbortSignal.timeout(arrival.leavesAt === Infinity ? 60_000 : Math.max(1, Math.round((arrival.leavesAt - arrival.at) / timeScale)));
	const either = AbortSignal.any([leave, signal]);
	const first = Math.floor(arrival.routerChoice * urls.length);
	const result = {
		arrival, isDesk, problem: undefined, hasRetryAfter: false, firstTokenMs: undefined, requestId: '',
	};
	// Like a load balancer, tries the next host if a connection is refused.
	for (let tries = 0; tries < urls.length; tries++) {
		let firstTokenMs: number | undefined;
		try {
			const res = await request(`${urls[(first + tries) % urls.length]}${path}`, {
				...init, dispatcher, signal: either, method: 'POST',
			});
			let body = '';
			for await (const part of res.body) {
				firstTokenMs ??= toElapsed();
				body = body.slice(-400) + String(part);
			}

			const times = {firstTokenMs: res.statusCode === 200 ? firstTokenMs : undefined, endMs: toElapsed()};
			return {
				...result, ...times, fate: toFate(sent, res.statusCode, body, times), problem: res.statusCode === 200 ? undefined : toProblem(body),
				hasRetryAfter: res.headers['retry-after'] !== undefined, requestId: String(res.headers['x-request-id'] ?? ''),
			};
		} catch (error) {
			const isClosed = isRecord(error) && error.code === 'ECONNREFUSED';
			if (!isClosed || either.aborted) {
				return {
					...result, firstTokenMs, endMs: toElapsed(), fate: leave.aborted && arrival.leavesAt !== Infinity ? 'caller-gone' : 'failed',
				};
			}
		}
	}

	return {...result, endMs: toElapsed(), fate: 'failed'};
}

/**
 * Sends the arrivals at their times, regardless of the outcome of earlier ones.
 *
 * @param plan - Plan of the run.
 * @param deployment - Deployment that receives the requests.
 * @param options - Time windows, seed and the name of the run, which begins every prompt.
 * @returns Result of each caller, event-loop utilization of the driver, and the longest delay in sending an arrival.
 */
export async function drive(plan: RunPlan, deployment: BenchDeployment, options: {windows: Windows; seed: number; runId: string}): Promise<{results: CallerResult[]; busy: number; lateMs: number}> {
	const {windows, seed, runId} = options;
	const dispatcher = new Agent({connections: 512, headersTimeout: 0, bodyTimeout: 0});
	const urls = deployment.hosts.map(({callerUrl}) => callerUrl);
	const over = new AbortController();
	const loop = performance.eventLoopUtilization();
	const startedAt = performance.now();
	const calls: Array<Promise<CallerResult>> = [];
	let lateMs = 0;
	let hasLostZone = plan.fault !== 'lost zone';
	for (const {arrival, isDesk} of toRunArrivals(plan, windows, seed)) {
		const waitMs = (arrival.at / timeScale) - (performance.now() - startedAt);
		if (waitMs > 1) {
			await sleep(waitMs);
		}

		lateMs = Math.max(lateMs, performance.now() - startedAt - (arrival.at / timeScale));
		if (!hasLostZone && arrival.at >= windows.warmupMs + ((windows.horizonMs - windows.warmupMs) / 4)) {
			hasLostZone = true;
			void deployment.loseZone();
		}

		calls.push(call({arrival, isDesk, runId}, urls, dispatcher, over.signal));
	}

	const drain = setTimeout(() => {
		over.abort();
	}, longestDrainMs);
	const results = await Promise.all(calls);
	clearTimeout(drain);
	const {utilization} = performance.eventLoopUtilization(loop);
	await dispatcher.destroy();
	return {results, busy: utilization, lateMs: lateMs * timeScale};
}
