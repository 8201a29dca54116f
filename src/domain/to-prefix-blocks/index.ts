import {createHash} from 'node:crypto';

/** Characters (UTF-16 units) of a cache block, as engines count them. */
export const charactersPerBlock = 64;

/** Estimated tokens of a cache block. */
export const tokensPerBlock = 16;

const nameDigits = 16;
/** Bytes that a surrogate without its partner becomes in UTF-8. */
const replacementBytes = Buffer.from('\uFFFD');

function isHighSurrogate(unit: number): boolean {
	return unit >= 0xD8_00 && unit <= 0xDB_FF;
}

/**
 * Names the blocks of a prompt as engines name them in their cache events, so
 * that a request finds the server that has its beginning already. Only whole
 * blocks have a name, and only the first ones are worked out: that bounds the
 * work, and what prompts share is at their beginning.
 *
 * @param prompt - The prompt as text.
 * @param options - `maxBlocks`, 64 by default.
 * @returns Names in order; each covers the prompt from its start.
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
		// A pair of surrogates across the border belongs whole to the next block; here its first half stands alone.
		const isCut = isHighSurrogate(prompt.charCodeAt(end - 1)); // eslint-disable-line unicorn/prefer-code-point -- half a pair is what is looked for
		const whole = isCut ? end - 1 : end;
		hash.update(prompt.slice(hashed, whole));
		hashed = whole;
		const upToHere = hash.copy();
		names.push((isCut ? upToHere.update(replacementBytes) : upToHere).digest('hex').slice(0, nameDigits));
	}

	return names;
}
