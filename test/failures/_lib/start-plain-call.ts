/** A caller of a plain service: sends one call and returns the result. */
import {Agent, request} from 'undici';
import {type CallResult} from './start-call.js';

export type PlainCallOptions = {
	path: string;
	body?: string;
	key?: string;
	workspace?: string;
};

export type PlainCallResult = Pick<CallResult, 'status' | 'requestId' | 'isWhole' | 'outcome' | 'problem' | 'isBroken' | 'retryAfter'>;

const brokenResult: PlainCallResult = {
	status: 0, requestId: '', isWhole: false, outcome: undefined, problem: undefined, isBroken: true, retryAfter: undefined,
};

type PlainAnswer = {status: number; body: string; requestId: string; retryAfter: string | undefined};

function toResult(sent: string, {status, body, requestId, retryAfter}: PlainAnswer): PlainCallResult {
	if (status === 200) {
		return {
			...brokenResult, status, requestId, isWhole: body === sent, isBroken: false,
		};
	}

	const {outcome, type: problem} = JSON.parse(body) as {outcome?: string; type?: string};
	return {
		status, requestId, isWhole: false, outcome, problem, isBroken: false, retryAfter,
	};
}

/**
 * Sends a POST request on a connection of its own.
 *
 * @param callerUrl - URL of the entry for callers.
 * @param options - The request; the stand-in echoes its body.
 * @returns The result; never rejects.
 */
export async function startPlainCall(callerUrl: string, options: PlainCallOptions): Promise<PlainCallResult> {
	const {path, body = 'a new address', key, workspace = 'odvetniki-breg'} = options;
	const dispatcher = new Agent({connections: 1, headersTimeout: 0, bodyTimeout: 0});
	try {
		const res = await request(`${callerUrl}${path}`, {
			dispatcher, method: 'POST', body, headers: {'x-workspace': workspace, ...(key !== undefined && {'idempotency-key': key})},
		});
		return toResult(body, {
			status: res.statusCode, body: await res.body.text(), requestId: String(res.headers['x-request-id'] ?? ''), retryAfter: res.headers['retry-after']?.toString(),
		});
	} catch {
		return brokenResult;
	} finally {
		await dispatcher.destroy();
	}
}
