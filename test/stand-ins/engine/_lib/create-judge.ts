/** Counts what an engine did for each request. The code under test has no access to the counts. */
import {type AttemptKey, type EngineOrder} from '../../../../src/ports/engine.js';
import {type JudgedRequest, type TakenOrder, type WasteCause} from './types.js';

const promptBeginning = 80;

type Counted = Exclude<keyof JudgedRequest, 'attempts'>;

const createRequest = (): JudgedRequest => ({
	attempts: [],
	reservations: 0,
	prefillsStarted: 0,
	prefillsFinished: 0,
	decodesStarted: 0,
	decodesFinished: 0,
	cancels: 0,
	tokens: 0,
	wrongContinuations: 0,
});

export type Judge = ReturnType<typeof createJudge>;

/** Creates the counters of one engine. */
export const createJudge = () => {
	const requests = new Map<string, JudgedRequest>();
	const wasted: Partial<Record<WasteCause, number>> = {};
	const wastedRequests: Array<{requestId: string; attempt: number; cause: WasteCause}> = [];
	const orders: TakenOrder[] = [];
	const refusedOrders: TakenOrder[] = [];
	const calls: Record<string, number> = {};
	const offers = new Map<string, number>();
	const prompts: Record<string, string> = {};

	const getRequest = (key: AttemptKey): JudgedRequest => {
		const request = requests.get(key.requestId) ?? createRequest();
		requests.set(key.requestId, request);
		if (!request.attempts.includes(key.attempt)) {
			request.attempts.push(key.attempt);
		}

		return request;
	};

	return {
		count(key: AttemptKey, what: Counted, amount = 1) {
			getRequest(key)[what] += amount;
		},
		/** Records the beginning of a request's prompt, by which a test finds the runs of one piece of work. */
		recordPrompt(key: AttemptKey, prompt: string) {
			prompts[key.requestId] = prompt.slice(0, promptBeginning);
		},
		recordWaste(key: AttemptKey, cause: WasteCause) {
			wasted[cause] = (wasted[cause] ?? 0) + 1;
			wastedRequests.push({requestId: key.requestId, attempt: key.attempt, cause});
		},
		recordOrder(order: EngineOrder, isTaken: boolean) {
			(isTaken ? orders : refusedOrders).push({...order, atMs: performance.now()});
		},
		countOffer({requestId}: AttemptKey) {
			offers.set(requestId, (offers.get(requestId) ?? 0) + 1);
		},
		countCall(name: string) {
			calls[name] = (calls[name] ?? 0) + 1;
		},
		request: (requestId: string): JudgedRequest => requests.get(requestId) ?? createRequest(),
		report: () => ({
			requests: Object.fromEntries(requests), wasted, wastedRequests, orders, refusedOrders, offers: Object.fromEntries(offers), calls, prompts,
		}),
		/** Resets all counts, for the next part of a long run. */
		reset() {
			requests.clear();
			offers.clear();
			for (const requestId of Object.keys(prompts)) {
				Reflect.deleteProperty(prompts, requestId);
			}

			wastedRequests.length = 0;
			orders.length = 0;
			refusedOrders.length = 0;
			for (const cause of Object.keys(wasted)) {
				wasted[cause as WasteCause] = 0;
			}

			for (const name of Object.keys(calls)) {
				calls[name] = 0;
			}
		},
	};
};
