/** A caller of the failure tests: sends one completion, reads what comes, and can go away at any moment. */
import {Agent, request} from 'undici';
import {expectedAnswer} from '../../stand-ins/engine/index.js';

export type CallOptions = {
	prompt: string;
	maxTokens?: number;
	isStreamed?: boolean;
	/** Asks for the quick class. */
	isQuick?: boolean;
	/** Marks a scene, which may run once only. */
	isScene?: boolean;
	key?: string;
	workspace?: string;
};

export type CallResult = {
	/** 0 when no answer came. */
	status: number;
	requestId: string;
	/** Text of the answer's tokens, in order. */
	text: string;
	/** Whether the answer says that it is complete and has every token of its own prompt. */
	isWhole: boolean;
	/** Outcome that a refusal or an error event names. */
	outcome: string | undefined;
	problem: string | undefined;
	/** Whether the connection broke or was closed before the answer said that it ended. */
	isBroken: boolean;
	/** Error code of a connection that broke, as far as it has one. */
	errorCode?: string;
	retryAfter: string | undefined;
	headers: Record<string, string | string[] | undefined>;
};

export type StartedCall = {
	done: Promise<CallResult>;
	/** Goes away, as a caller does whose courier has left. */
	leave: () => void;
	/** Text that has come so far. */
	received: () => string;
};

type Document = {
	choices?: Array<{text?: string; finish_reason?: string | null}>;
	outcome?: string;
	type?: string;
};

function parseDocument(text: string): Document {
	try {
		return JSON.parse(text) as Document;
	} catch {
		return {};
	}
}

/** Splits an answer, whole or streamed, into its JSON documents. */
function toDocuments(body: string): {documents: Document[]; isDone: boolean} {
	if (!body.startsWith('data:') && !body.startsWith('event:')) {
		return {documents: [parseDocument(body)], isDone: true};
	}

	const lines = body.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length));
	return {documents: lines.filter(line => line !== '[DONE]').map(line => parseDocument(line)), isDone: lines.at(-1) === '[DONE]'};
}

type Response = {statusCode: number; headers: Record<string, string | string[] | undefined>};

function toResult(options: CallOptions, res: Response | undefined, body: string, ending: {isCut: boolean; errorCode: string | undefined}): CallResult {
	const {isCut, errorCode} = ending;
	const {documents, isDone} = toDocuments(body);
	const text = documents.map(document => document.choices?.[0]?.text ?? '').join('');
	const hasFinish = documents.some(document => typeof document.choices?.[0]?.finish_reason === 'string');
	const problem = documents.find(document => document.outcome !== undefined);
	const isEnded = isDone && !isCut;
	return {
		status: res?.statusCode ?? 0,
		requestId: String(res?.headers['x-request-id'] ?? ''),
		text,
		isWhole: isEnded && hasFinish && problem === undefined && text === expectedAnswer(options.prompt, options.maxTokens ?? 16).join(''),
		outcome: problem?.outcome,
		problem: problem?.type,
		isBroken: res === undefined || isCut || (!isDone && problem === undefined),
		...(errorCode !== undefined && {errorCode}),
		retryAfter: res?.headers['retry-after']?.toString(),
		headers: res?.headers ?? {},
	};
}

function toHeaders({isQuick, isScene, key, workspace = 'odvetniki-breg'}: CallOptions): Record<string, string> {
	return {
		'content-type': 'application/json',
		'x-workspace': workspace,
		...(isQuick && {'x-service-class': 'quick'}),
		...(isScene && {'x-scene': 'billed'}),
		...(key !== undefined && {'idempotency-key': key}),
	};
}

/**
 * Sends a completion on a connection of its own.
 *
 * @param callerUrl - Callers' URL of the entry.
 * @param options - What is asked for.
 * @returns The call; `done` never rejects.
 */
export function startCall(callerUrl: string, options: CallOptions): StartedCall {
	const dispatcher = new Agent({connections: 1, headersTimeout: 0, bodyTimeout: 0});
	const control = new AbortController();
	let body = '';

	async function run(): Promise<CallResult> {
		let res: Awaited<ReturnType<typeof request>> | undefined;
		let isCut = false;
		let errorCode: string | undefined;
		try {
			res = await request(`${callerUrl}/v1/completions`, {
				dispatcher,
				signal: control.signal,
				method: 'POST',
				headers: toHeaders(options),
				body: JSON.stringify({
					model: 'post-summary', prompt: options.prompt, max_tokens: options.maxTokens ?? 16, stream: options.isStreamed ?? true,
				}),
			});
			res.body.setEncoding('utf8');
			for await (const part of res.body) {
				body += String(part);
			}
		} catch (error) {
			isCut = true;
			errorCode = (error as {code?: string}).code;
		}

		await dispatcher.destroy();
		return toResult(options, res, body, {isCut, errorCode});
	}

	return {
		done: run(),
		leave() {
			control.abort();
		},
		received: () => toDocuments(body).documents.map(document => document.choices?.[0]?.text ?? '').join(''),
	};
}
