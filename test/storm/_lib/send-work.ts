/** Sends one piece of work to a host and optionally disconnects before the answer is complete. */
import {Agent, request} from 'undici';
import {type FleetHost} from '../../_lib/start-fleet/index.js';
import {expectedAnswer} from '../../stand-ins/engine/index.js';
import {startCall} from '../../failures/_lib/start-call.js';
import {type Answer, type Work} from './types.js';

export type SendOptions = {
	/** Time after which the caller disconnects; absent when it stays. */
	leaveAfterMs?: number;
};

export type SentAnswer = {
	answer: Answer;
	hasLeft: boolean;
	isHung: boolean;
};

/** Time after which an open call counts as hung: longer than the longest target of any kind of work. */
const hungAfterMs = 120_000;

/** Returns the prompt of a piece of work. The judges of the engines find the work by the beginning of its prompt. */
export function toPrompt({id, kind}: Work): string {
	return `${id} is a ${kind} of the storm`;
}

/** Returns the text of the complete answer to a piece of work. */
export function toExpected(work: Work): string {
	if (work.kind === 'desk lookup') {
		return '';
	}

	return work.kind === 'desk change' ? work.id : expectedAnswer(toPrompt(work), work.maxTokens).join('');
}

async function sendModelCall(callerUrl: string, work: Work, signal: AbortSignal): Promise<Answer> {
	const call = startCall(callerUrl, {
		prompt: toPrompt(work),
		maxTokens: work.maxTokens,
		isStreamed: work.isStreamed,
		isQuick: work.kind === 'question',
		isScene: work.kind === 'scene',
		workspace: work.workspace,
		...(work.key !== undefined && {key: work.key}),
	});
	signal.addEventListener('abort', call.leave, {once: true});
	const {status, requestId, text, isWhole, outcome, problem, isBroken, errorCode} = await call.done;
	return {
		status,
		requestId,
		text,
		outcome,
		problem,
		isBroken,
		errorCode,
		isClaimedWhole: status === 200 && !isBroken && outcome === undefined,
		isExpected: isWhole,
		isBeginning: toExpected(work).startsWith(text),
	};
}

function toProblem(body: string): {outcome?: string; type?: string} {
	try {
		return JSON.parse(body) as {outcome?: string; type?: string};
	} catch {
		return {};
	}
}

async function sendDeskCall(callerUrl: string, work: Work, signal: AbortSignal): Promise<Answer> {
	const dispatcher = new Agent({connections: 1, headersTimeout: 0, bodyTimeout: 0});
	const isChange = work.kind === 'desk change';
	const path = `${isChange ? '/desk/forwarding/' : '/desk/box/'}${work.id}`;
	let status = 0;
	let requestId = '';
	try {
		const res = await request(callerUrl + path, {
			dispatcher,
			signal,
			method: isChange ? 'POST' : 'GET',
			...(isChange && {body: work.id}),
			headers: {'x-workspace': work.workspace, ...(work.key !== undefined && {'idempotency-key': work.key})},
		});
		status = res.statusCode;
		requestId = String(res.headers['x-request-id'] ?? '');
		const text = await res.body.text();
		const {outcome, type: problem} = status === 200 ? {} : toProblem(text);
		const isClaimedWhole = status === 200;
		// The answer to a lookup has no text; the desk service echoes the requested path in a header.
		const isOwn = isChange || res.headers['x-echo-path'] === path;
		return {
			status,
			requestId,
			text,
			outcome,
			problem,
			isClaimedWhole,
			errorCode: undefined,
			isExpected: isClaimedWhole && isOwn && text === toExpected(work),
			isBeginning: !isClaimedWhole || (isOwn && toExpected(work).startsWith(text)),
			isBroken: !isClaimedWhole && outcome === undefined,
		};
	} catch (error) {
		return {
			status,
			requestId,
			text: '',
			outcome: undefined,
			problem: undefined,
			isClaimedWhole: false,
			isExpected: false,
			isBeginning: true,
			isBroken: true,
			errorCode: (error as {code?: string}).code ?? String(error),
		};
	} finally {
		await dispatcher.destroy();
	}
}

/**
 * Sends work on a connection of its own.
 *
 * @returns The answer; never rejects. A call that is still open after two minutes is aborted and marked as hung.
 */
export async function sendWork(host: FleetHost, work: Work, {leaveAfterMs}: SendOptions): Promise<SentAnswer> {
	const control = new AbortController();
	const timer = setTimeout(() => {
		control.abort();
	}, leaveAfterMs ?? hungAfterMs);
	const send = work.kind.startsWith('desk') ? sendDeskCall : sendModelCall;
	const answer = await send(host.callerUrl, work, control.signal);
	clearTimeout(timer);
	const isAborted = control.signal.aborted;
	return {answer, hasLeft: isAborted && leaveAfterMs !== undefined, isHung: isAborted && leaveAfterMs === undefined};
}
