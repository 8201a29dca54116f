/**
 * What a caller may conclude from a refusal or a broken answer.
 *
 * - `not-run`: no byte of the request was offered to any backend server, or the
 *   server itself said that it did not start it. Safe to send again.
 * - `may-have-run`: the request was offered and its fate is unknown.
 * - `ran`: the request ran; its answer was, or can no longer be, delivered.
 */
export type Outcome = 'not-run' | 'may-have-run' | 'ran';

/** Latency class of a request: `quick` has a person waiting, `batch` may come late but must finish. */
export type ServiceClass = 'quick' | 'batch';
