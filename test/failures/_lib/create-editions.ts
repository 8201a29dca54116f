import {sealConfig} from '../../../src/domain/seal-config/index.js';
import {sealParts} from '../../../src/domain/seal-parts/index.js';
import {splitConfig} from '../../../src/domain/split-config/index.js';
import {type ConfigPart} from '../../../src/ports/config.js';
import {type Fleet} from '../../_lib/start-fleet/index.js';

/** A sealed document and the marker that identifies its edition. */
export type Edition = {marker: number; text: string};

/**
 * Creates successive editions of a fleet's configuration. Each edition lists a
 * model whose name contains the edition's marker, so that a caller can tell from
 * the list of models which edition a host uses.
 */
export function createEditions({configText, pools}: Pick<Fleet, 'configText' | 'pools'>) {
	let marker = 0;

	function toPlain(number: number, parts: Record<string, unknown> = {}): string {
		const {end, ...document} = JSON.parse(configText) as Record<string, unknown>;
		const marked = [...pools, {name: 'marker', model: `edition-${number}`, classes: ['quick']}];
		return JSON.stringify({
			...document, pools: marked, ...parts, end,
		}, undefined, '\t') + '\n';
	}

	return {
		/** An unsealed document for the next edition, whose sections are overridden by `parts`. */
		toNextPlain: (parts: Record<string, unknown>): string => toPlain(marker + 1, parts),
		toSealed(previous: string | undefined): Edition {
			marker += 1;
			return {marker, text: sealConfig(toPlain(marker), previous)._unsafeUnwrap().text};
		},
		/** The next edition, split into parts; the part with the rules differs in every edition. */
		toSealedParts(previous: string): Edition & {parts: readonly ConfigPart[]} {
			marker += 1;
			const source = splitConfig(toPlain(marker), () => true)._unsafeUnwrap();
			const texts = new Map(source.parts.map(({name, text}) => [name, text.replace('"desk changes"', `"desk changes ${marker}"`)]));
			const {text, parts} = sealParts(source.root, name => texts.get(name), previous)._unsafeUnwrap();
			return {marker, text, parts};
		},
	};
}
