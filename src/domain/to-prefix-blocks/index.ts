import {createHash} from 'node:crypto';

/** Number of characters (UTF-16 code units) in a cache block, as engines count them. */
export const charactersPerBlock = 64;

/** Estimated number of tokens in a cache block. */
export const tokensPerBlock = 16;

const nameDigits = 16;
/** UTF-8 encoding of a lone surrogate: the replacement character. */
const replacementBytes = Buffer.from('\uFFFD');

function isHighSurrogate(unit: number): boolean {
	return unit >= 0xD8_00 && unit <= 0xDB_FF;
}

/**
 * Computes the names of a prompt's blocks as engines name them in their cache events,
 * so that a request can be sent to a server that has its prefix in the cache. Only
 * full blocks have a name. Only the first `maxBlocks` names are computed, which bounds
 * the work; prompts share their beginnings.
 *
 * @param prompt - The prompt as text.
 * @param options - `maxBlocks`, 64 by default.
 * @returns Names in order; each is a hash of the prompt from its start to the end of the block.
 *
 * @example
 * ```ts
 * toPrefixBlocks('x'.repeat(130)).length; // => 2
 * ```
 */
export function toPrefixBlocks(prompt: string, options: {maxBlocks?: number} = {}): string[] {
	const count = Math.min(options.maxBlocks ?? 64, Math.floor(prompt.length / charactersPerBlock));
	const hash = createHash('sha256');
	const names: string[] = [];
	let hashed = 0;
	for (let block = 1; block <= count; block++) {
		const end = block * charactersPerBlock;
		// If a surrogate pair crosses the border, this block's name covers its first half as a lone surrogate, and the next block's name the whole pair.
		const isCut = isHighSurrogate(prompt.charCodeAt(end - 1)); // eslint-disable-line unicorn/prefer-code-point -- the check is for one half of a surrogate pair
		const whole = isCut ? end - 1 : end;
		hash.update(prompt.slice(hashed, whole));
		hashed = whole;
		const upToHere = hash.copy();
		names.push((isCut ? upToHere.update(replacementBytes) : upToHere).digest('hex').slice(0, nameDigits));
	}

	return names;
}
