/** Rules that the stand-in store publishes. */
/** Name in the `Host` header of all callers. */
export const callerHost = 'desk.example';

/** Routes of lookups, checks, streams that can't be resumed, and streams that can. */
export const routes: ReadonlyArray<Record<string, unknown>> = [
	{
		name: 'lookups', prefix: '/lookup/', kind: 'unsafe', service: 'desk', max_attempts: 1, target_latency_ms: 100, timeout_ms: 1500,
	},
	{
		name: 'checks', prefix: '/check/', kind: 'safe', service: 'desk', max_attempts: 2, target_latency_ms: 100, timeout_ms: 1500,
	},
	{
		name: 'summaries', prefix: '/summary/', kind: 'stream', service: 'model', max_attempts: 2, target_latency_ms: 900, timeout_ms: 14_000, gap_target_ms: 300, sticky: true,
	},
	{
		name: 'notices', prefix: '/notice/', kind: 'stream', service: 'model', max_attempts: 2, target_latency_ms: 900, timeout_ms: 14_000, gap_target_ms: 300, sticky: true, resumable: true,
	},
];
/** Limits for callers, unless a test publishes others. */
const usualLimits: Readonly<Record<string, number>> = {
	header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

const services = [
	{name: 'desk', health_path: '/health', max_connections: 100},
	{
		name: 'spare', health_path: '/health', max_connections: 100,
	},
	{
		name: 'model', health_path: '/health', max_connections: 100, engine: {
			kv_capacity_tokens: 40_000, hold_ms: 2000, switch_s: 6, models: [{name: 'm'}],
		},
	},
];

/**
 * Creates the value of the store's key for rules.
 *
 * @param version - Grows with each publication.
 * @param published - Routes with their host, tenants, without whom callers need no key, and limits; none with `null`.
 * @returns The value.
 */
export function toRulesDocument(version: number, published: {routes?: ReadonlyArray<Record<string, unknown>>; tenants?: ReadonlyArray<Record<string, unknown>> | undefined; limits?: Readonly<Record<string, number>> | null} = {}): Record<string, unknown> {
	const {routes: ofHost = routes.map(route => ({...route, host: callerHost})), tenants, limits = usualLimits} = published;
	return {
		version,
		routes: ofHost,
		services,
		...(tenants && {tenants}),
		...(limits && {limits}),
	};
}
