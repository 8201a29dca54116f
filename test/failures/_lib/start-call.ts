/** A caller for the failure tests: sends one completion, reads the answer, and can disconnect at any moment. */
import {Agent, request} from 'undici';
import {expectedAnswer} from '../../stand-ins/engine/index.js';

export type CallOptions = {
	prompt: string;
	maxTokens?: number;
	isStreamed?: boolean;
	/** Whether the quick class is requested. */
	isQuick?: boolean;
	/** Whether the request is a scene, which may run at most once. */
	isScene?: boolean;
	key?: string;
	workspace?: string;
};

export type CallResult = {
	/** HTTP status; 0 if no answer came. */
	status: number;
	requestId: string;
	/** Concatenated text of the answer's tokens. */
	text: string;
	/** Whether the answer is marked as complete and contains every token expected for its prompt. */
	isWhole: boolean;
	/** Outcome named by a refusal or an error event. */
	outcome: string | undefined;
	problem: string | undefined;
	/** Whether the connection broke or was closed before the end of the answer. */
	isBroken: boolean;
	/** Error code of a broken connection, if it has one. */
	errorCode?: string;
	retryAfter: string | undefined;
	headers: Record<string, string | string[] | undefined>;
};

export type StartedCall = {
	done: Promise<CallResult>;
	/** Disconnects without waiting for the answer. */
	leave: () => void;
	/** Text received so far. */
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

/** Splits an answer, streamed or not, into its JSON documents. */
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
 * @param callerUrl - URL of the entry for callers.
 * @param options - The request.
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
