/** Messages about keys between entries of different hosts. Every body that a peer sends is validated before use. */
import {z} from 'zod';

const claimant = z.object({host: z.string(), incarnation: z.number(), address: z.string()});

const scoped = {workspace: z.string(), key: z.string()};

const claim = {
	claimId: z.string(), claimant, digest: z.string(), isRepeatable: z.boolean(),
};

export const claimRequestSchema = z.object({...scoped, ...claim, replaces: z.string().optional()});

export const claimAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('granted'), incarnation: z.number()}),
	z.object({kind: z.literal('held'), incarnation: z.number(), claim: z.object(claim)}),
	z.object({
		kind: z.literal('abstained'),
		incarnation: z.number(),
		reason: z.enum(['restarted', 'expired', 'future', 'full', 'leaving', 'malformed']),
		retryAfterMs: z.number().optional(),
	}),
]);

export const releaseSchema = z.object({...scoped, claimId: z.string()});

export const joinRequestSchema = z.object({...scoped, digest: z.string(), claimId: z.string()});

/**
 * - `reading`: the answer can be read under `readId`.
 * - `released`: this process has released the claim and will not run the key under it.
 * - `foreign`: this process did not make the claim; the process that made it has ended.
 */
export const joinReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('reading'), readId: z.number()}),
	z.object({kind: z.enum(['released', 'foreign', 'other-body', 'not-kept', 'broken'])}),
]);

export type JoinReply = z.infer<typeof joinReplySchema>;

export const readRequestSchema = z.object({readId: z.number()});

/** One part of an answer, or `idle` if none arrived while the call was held. */
export const readReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('head'), status: z.number(), headers: z.record(z.string(), z.union([z.string(), z.array(z.string())]))}),
	z.object({kind: z.literal('bytes'), bytes: z.custom<Uint8Array>(value => value instanceof Uint8Array)}),
	z.object({kind: z.literal('end'), end: z.enum(['complete', 'broken', 'retryable'])}),
	z.object({kind: z.literal('taken-over')}),
	z.object({kind: z.literal('idle')}),
]);

export type ReadReply = z.infer<typeof readReplySchema>;

/** A part of a leaving witness's table; as frames are bounded, a large table is sent in several parts. */
export const handOverSchema = z.object({
	slot: z.string(),
	incarnation: z.number(),
	vouchesFrom: z.number(),
	floor: z.number(),
	part: z.int().min(0),
	parts: z.int().min(1).max(1000),
	claims: z.array(z.object({...scoped, ...claim})),
});

/** `isTaken` is `false` if the peer has no room or refuses the part. */
export const handOverReplySchema = z.object({isTaken: z.boolean()});

export type HandOverPart = z.infer<typeof handOverSchema>;

export const takeOverRequestSchema = z.object({part: z.int().min(0)});

export const takeOverReplySchema = z.union([z.object({kind: z.literal('nothing')}), handOverSchema.extend({kind: z.literal('part')})]);

export type TakeOverReply = z.infer<typeof takeOverReplySchema>;

export const methods = {
	claim: 'claim', join: 'join', read: 'read', handOver: 'hand-over', takeOver: 'take-over',
} as const;

export const events = {release: 'release', closeRead: 'close-read'} as const;
