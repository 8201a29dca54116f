/** Reads and validates a completion request. */
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {countPromptTokens} from '../../../../domain/count-prompt-tokens/index.js';
import {type AnswerKind} from '../../../../domain/create-sse-encoder/index.js';
import {type CompletionRequest, parseCompletionRequest} from '../../../../domain/parse-completion-request/index.js';
import {type Problem} from '../../../../domain/to-problem/index.js';
import {toRequestDigest} from '../../_lib/find-idempotency-key.js';
import {toBodyProblem} from '../../_lib/problems.js';
import {type ServeContext} from '../../_lib/serve-types.js';

const defaultMaxTokens = 256;

export type ParsedRequest = {
	request: CompletionRequest;
	promptTokens: number;
};

type ReadRequest = ParsedRequest & {
	/** Digest of the request, compared when its idempotency key is used again. */
	digest: string;
};

/**
 * Reads a request's body and checks it against the limits of this host.
 *
 * @param kind - The endpoint.
 * @param exchange - The caller's request.
 * @param ctx - Services of the entry, for its limits.
 * @returns The request, or the problem to answer with; `gone` if the caller disconnected before its body was complete.
 */
export async function readRequest(kind: AnswerKind, exchange: CallerExchange, ctx: ServeContext): Promise<Result<ReadRequest, Problem | 'gone'>> {
	const {limits} = ctx;
	const bodyLimits = {limitBytes: limits.maxBodyBytes, timeoutMs: limits.bodyTimeoutMs};
	const type = exchange.headers['content-type'] ?? 'application/json';
	if (!/^application\/(?:[\w.+\-]+\+)?json\b/iv.test(type) || exchange.headers['content-encoding'] !== undefined) {
		return err({kind: 'wrong-media-type', detail: 'Send the body as application/json, not compressed.', outcome: 'not-run'});
	}

	const body = await exchange.readBody({...bodyLimits, signal: ctx.stopDeadline.signal});
	if (body.isErr()) {
		return err(body.error === 'gone' ? 'gone' : toBodyProblem(body.error, bodyLimits));
	}

	const parsed = parseCompletionRequest(kind, body.value.toString('utf8'), {defaultMaxTokens: Math.min(defaultMaxTokens, limits.maxOutputTokens), maxTokensLimit: limits.maxOutputTokens});
	if (parsed.isErr()) {
		return err({kind: parsed.error.kind, detail: parsed.error.message, outcome: 'not-run'});
	}

	const promptTokens = countPromptTokens(parsed.value.prompt);
	return promptTokens > limits.maxPromptTokens
		? err({kind: 'prompt-too-long', detail: `The prompt has about ${promptTokens} tokens; this host accepts at most ${limits.maxPromptTokens}. Send a shorter one.`, outcome: 'not-run'})
		: ok({request: parsed.value, promptTokens, digest: toRequestDigest(exchange, body.value)});
}
