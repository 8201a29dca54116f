/** The correct answer to a prompt, by which a test can tell which request an answer belongs to and whether it is complete. */
import {createHash} from 'node:crypto';

const unitsPerToken = 4;
const unitsPerBlock = 64;

const toShortHash = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 8);

/** Counts the tokens of a prompt as the protocol estimates them. */
export const countPromptTokens = (prompt: string): number => Math.max(1, Math.ceil(prompt.length / unitsPerToken));

/** Creates a function that returns the token at an offset of the prompt's answer. */
export const createAnswer = (prompt: string): ((offset: number) => string) => {
	const mark = toShortHash(prompt);
	return offset => offset === 0 ? `${mark}-0` : ` ${mark}-${offset}`;
};

/**
 * Returns the complete answer to a prompt.
 *
 * @param prompt The prompt as the engine gets it.
 * @param maxTokens Number of tokens; the stand-in always generates all of them.
 */
export const expectedAnswer = (prompt: string, maxTokens: number): string[] => {
	const answer = createAnswer(prompt);
	return Array.from({length: maxTokens}, (_, offset) => answer(offset));
};

/** Returns the hashes of the complete blocks of a prompt, in order. Each hash covers the prompt up to the end of its block. */
export const toBlocks = (prompt: string): string[] => {
	const hash = createHash('sha256');
	const blocks: string[] = [];
	for (let end = unitsPerBlock; end <= prompt.length; end += unitsPerBlock) {
		hash.update(prompt.slice(end - unitsPerBlock, end));
		blocks.push(hash.copy().digest('hex').slice(0, 16));
	}

	return blocks;
};
