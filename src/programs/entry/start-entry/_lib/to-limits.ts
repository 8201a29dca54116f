import {type CallerLimits} from '../../_lib/serve-types.js';
import {type EntryCoreSettings} from './types.js';

/**
 * @param settings - Settings of the entry.
 * @returns Limits of requests, until the platform sets others.
 */
export function toLimits(settings: EntryCoreSettings): CallerLimits {
	return {
		maxBodyBytes: settings.maxBodyBytes,
		bodyTimeoutMs: settings.bodyTimeout,
		writeTimeoutMs: settings.writeTimeout,
		maxPromptTokens: settings.maxPromptTokens,
		maxOutputTokens: settings.maxOutputTokens,
		maxInFlight: settings.maxInFlight,
		maxQueued: settings.maxQueued,
	};
}
