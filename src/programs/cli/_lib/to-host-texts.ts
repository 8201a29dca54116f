import {stringify} from 'yaml';
import {type HostDocument} from './fetch-from-hosts.js';

/**
 * Formats documents of hosts as text.
 *
 * @param documents - What each host answered.
 * @returns Each host's address, and its document indented below.
 */
export function toHostTexts(documents: readonly HostDocument[]): string {
	return documents.map(({host, document}) => `${host}\n${toIndented(document)}\n`).join('');
}

function toIndented(document: unknown): string {
	return stringify(document, {lineWidth: 0}).replaceAll(/^(?=.)/gm, '  ');
}
