/** Hop-by-hop headers, which concern one connection only (RFC 9110, 7.6.1). */
const hopByHop = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'http2-settings', 'expect']);

type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

/**
 * Drops the headers that must not be forwarded: hop-by-hop headers, those that the
 * `Connection` header names, and any that the options name.
 *
 * @param headers - Headers by lower-case name.
 * @param options - `drop`: names of further headers to drop.
 * @returns The headers to forward.
 *
 * @example
 * ```ts
 * toForwardHeaders({connection: 'close, x-hop', 'x-hop': '1', accept: 'text/plain'}); // => {accept: 'text/plain'}
 * ```
 */
export function toForwardHeaders(headers: HeaderValues, options: {drop?: readonly string[]} = {}): Record<string, string | readonly string[]> {
	const {connection} = headers;
	const named = (typeof connection === 'string' ? connection : '').split(',').map(name => name.trim().toLowerCase());
	const dropped = new Set([...named, ...options.drop ?? []]);
	const kept: Record<string, string | readonly string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHop.has(name) && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}
