import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {isNewerVersion} from '../../../domain/is-newer-version/index.js';
import {parseConfig, toFaultLine} from '../../../domain/parse-config/index.js';
import {type AcceptedConfig} from '../../../ports/config.js';

export type CandidateFault = {
	message: string;
};

/**
 * Judges a document that the platform or a peer offers.
 *
 * @param current - Configuration in force.
 * @param text - The document.
 * @param revision - Revision at which the platform served it.
 * @returns The configuration to put in force, or why it stays as it is.
 */
export function readCandidate(current: AcceptedConfig | undefined, text: string, revision: number): Result<AcceptedConfig, CandidateFault> {
	const parsed = parseConfig(text, {file: 'config'});
	if (parsed.isErr()) {
		return err({message: parsed.error.map(fault => toFaultLine(fault)).join('; ')});
	}

	const version = {edition: 0, revision, digest: createHash('sha256').update(text).digest('hex')};
	if (current && !isNewerVersion(version, current.version)) {
		return err({message: 'it is not newer than the one in force'});
	}

	return ok({version, config: parsed.value, text});
}
