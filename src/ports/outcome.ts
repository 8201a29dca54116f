/**
 * What a caller may conclude from a refusal or a broken answer.
 *
 * - `not-run`: no byte of the request was offered to any backend server, or the
 *   server answered that it did not start the request. Safe to send again.
 * - `may-have-run`: the request was offered, and whether it ran is unknown.
 * - `ran`: the request ran; its answer was delivered or can't be delivered any more.
 */
export type Outcome = 'not-run' | 'may-have-run' | 'ran';

/** Latency class of a request: a person waits for a `quick` request; a `batch` request may be late but must finish. */
export type ServiceClass = 'quick' | 'batch';
