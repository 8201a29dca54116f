/**
 * Writes answers in the form of the OpenAI-compatible API, as server-sent events or in one piece.
 */
import {type FinishReason} from '../../ports/engine.js';
import {type ProblemDocument} from '../to-problem/index.js';

export type AnswerKind = 'completion' | 'chat';

/** Fields that are the same in every event of an answer. */
export type AnswerHead = {
	kind: AnswerKind;
	/** The `id` field. */
	id: string;
	/** Wall-clock seconds since the Unix epoch. */
	created: number;
	model: string;
};

export type Usage = {
	promptTokens: number;
	cachedTokens: number;
	completionTokens: number;
};

export type SseEncoder = {
	text: (text: string) => string;
	finish: (reason: FinishReason) => string;
	usage: (usage: Usage) => string;
	done: () => string;
	/** Writes the `error` event that ends a broken answer; `[DONE]` must not follow. */
	error: (problem: ProblemDocument) => string;
};

/**
 * Converts usage to the fields of the OpenAI-compatible API.
 *
 * @param usage - Counts of tokens.
 * @returns Fields of the `usage` object.
 *
 * @example
 * ```ts
 * toUsageFields({promptTokens: 7, cachedTokens: 0, completionTokens: 2}).total_tokens; // => 9
 * ```
 */
export function toUsageFields(usage: Usage): Record<string, unknown> {
	return {
		prompt_tokens: usage.promptTokens,
		completion_tokens: usage.completionTokens,
		total_tokens: usage.promptTokens + usage.completionTokens,
		prompt_tokens_details: {cached_tokens: usage.cachedTokens},
	};
}

/**
 * Creates the encoder of one answer. The constant parts are serialized only once, so
 * that an event costs one JSON string and one concatenation.
 *
 * @param head - Fields that all events share.
 * @returns Functions that return the text of one event each.
 *
 * @example
 * ```ts
 * const sse = createSseEncoder({kind: 'completion', id: 'cmpl-1', created: 0, model: 'm'});
 * sse.done(); // => 'data: [DONE]\n\n'
 * ```
 */
export function createSseEncoder(head: AnswerHead): SseEncoder {
	const object = head.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion';
	const fields = JSON.stringify({
		id: head.id, object, created: head.created, model: head.model,
	}).slice(0, -1);
	const [before, after] = head.kind === 'chat'
		? [',"choices":[{"index":0,"delta":{"content":', '},"finish_reason":null}]}\n\n']
		: [',"choices":[{"index":0,"text":', ',"logprobs":null,"finish_reason":null}]}\n\n'];
	const textStart = `data: ${fields}${before}`;
	const lastChoice = head.kind === 'chat' ? '{"index":0,"delta":{}' : '{"index":0,"text":"","logprobs":null';

	return {
		text: text => textStart + JSON.stringify(text) + after,
		finish: reason => `data: ${fields},"choices":[${lastChoice},"finish_reason":"${reason}"}]}\n\n`,
		usage: usage => `data: ${fields},"choices":[],"usage":${JSON.stringify(toUsageFields(usage))}}\n\n`,
		done: () => 'data: [DONE]\n\n',
		error: toErrorEvent,
	};
}

/**
 * Writes the event that ends an answer which can't be completed.
 *
 * @param problem - The problem document, as JSON.
 * @returns The text of the event.
 *
 * @example
 * ```ts
 * toErrorEvent({body: '{"title":"Answer lost"}'}); // => 'event: error\ndata: {"title":"Answer lost"}\n\n'
 * ```
 */
export function toErrorEvent(problem: {body: string}): string {
	return `event: error\ndata: ${problem.body}\n\n`;
}

/**
 * Writes an answer in one piece, for requests that do not stream.
 *
 * @param head - The fields that every event of a streamed answer has.
 * @param answer - The whole text, the reason for its end, and the usage.
 * @returns The JSON body.
 *
 * @example
 * ```ts
 * const usage = {promptTokens: 7, cachedTokens: 0, completionTokens: 2};
 * const body = toAnswerBody({kind: 'completion', id: 'cmpl-1', created: 0, model: 'm'}, {text: 'Dober dan', finish: 'stop', usage});
 * JSON.parse(body).choices[0].text; // => 'Dober dan'
 * ```
 */
export function toAnswerBody(head: AnswerHead, answer: {text: string; finish: FinishReason; usage: Usage}): string {
	const choice = head.kind === 'chat'
		? {index: 0, message: {role: 'assistant', content: answer.text}, finish_reason: answer.finish}
		: {
			index: 0, text: answer.text, logprobs: null, finish_reason: answer.finish,
		};
	return JSON.stringify({
		id: head.id,
		object: head.kind === 'chat' ? 'chat.completion' : 'text_completion',
		created: head.created,
		model: head.model,
		choices: [choice],
		usage: toUsageFields(answer.usage),
	});
}
