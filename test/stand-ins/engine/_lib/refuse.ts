import {type EngineRefusalReason} from '../../../../src/ports/engine.js';
import {RequestFault} from '../../_lib/http-server.js';

/** Creates a refusal, by which the engine states that it started nothing. */
export const refuse = (reason: EngineRefusalReason, message: string, retryAfterMs?: number): RequestFault => new RequestFault(
	retryAfterMs === undefined ? 409 : 503,
	{error: {reason, message}},
	retryAfterMs === undefined ? {} : {'retry-after-ms': String(Math.ceil(retryAfterMs))},
);
