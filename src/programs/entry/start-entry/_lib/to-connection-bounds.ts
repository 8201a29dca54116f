import {type ConnectionBounds} from '../../../../adapters/caller-http/index.js';
import {type CallerBounds} from '../../../../ports/config.js';
import {type EntryCoreSettings} from './types.js';

/**
 * @param settings - Settings of the entry.
 * @param bounds - Limits that the publisher sets.
 * @returns Limits of callers' connections: each of the publisher's, or else the host's own.
 */
export function toConnectionBounds({maxHeaderBytes, headerTimeout, keepAliveTimeout}: EntryCoreSettings, bounds: CallerBounds = {}): ConnectionBounds {
	return {
		maxHeaderBytes: bounds.maxHeaderBytes ?? maxHeaderBytes,
		headersTimeoutMs: bounds.headersTimeoutMs ?? headerTimeout,
		keepAliveTimeoutMs: bounds.keepAliveTimeoutMs ?? keepAliveTimeout,
	};
}
