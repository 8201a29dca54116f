/**
 * Validates a document of counts from another process.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type SloDocument} from '../../_lib/slo/index.js';

const count = z.number().int().nonnegative();
const counts = z.object({
	total: count, bad: count, lateFirstToken: count, latePerToken: count, lateComplete: count, refused: count, failed: count,
});
const points = z.array(counts).max(200).optional();
const series = z.object({
	scope: z.enum(['class', 'rule', 'workspace', 'other-workspaces']),
	class: z.enum(['quick', 'batch']),
	name: z.string().max(1000),
	windows: z.object({
		'5m': counts, '30m': counts, '1h': counts, '6h': counts, '24h': counts,
	}),
	minutes: points,
	quarters: points,
});
const schema = z.object({version: z.literal(1), hosts: z.array(z.string().max(200)).max(10_000), series: z.array(series).max(100_000)});

/**
 * Checks a decoded document.
 *
 * @param value - The decoded JSON.
 * @returns The document, or a message that names the first invalid field.
 *
 * @example
 * ```ts
 * parseSloDocument({version: 1, hosts: ['a-1'], series: []}).isOk(); // => true
 * parseSloDocument({version: 2}).isErr(); // => true
 * ```
 */
export function parseSloDocument(value: unknown): Result<SloDocument, string> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const [issue] = parsed.error.issues;
	const place = issue === undefined || issue.path.length === 0 ? 'the document' : issue.path.join('.');
	return err(`${place}: ${issue?.message ?? 'is not valid'}; ask a host that runs this version`);
}
