/** What entries of different hosts say to each other about keys; every body of a peer is checked before use. */
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
 * - `released`: this process gave the claim back and will not run the key for it.
 * - `foreign`: this process did not make the claim; the one that did is gone.
 */
export const joinReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('reading'), readId: z.number()}),
	z.object({kind: z.enum(['released', 'foreign', 'other-body', 'not-kept', 'broken'])}),
]);

export type JoinReply = z.infer<typeof joinReplySchema>;

export const readRequestSchema = z.object({readId: z.number()});

/** One part of an answer, or `idle` when none came within the time for which the call is held. */
export const readReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('head'), status: z.number(), headers: z.record(z.string(), z.union([z.string(), z.array(z.string())]))}),
	z.object({kind: z.literal('bytes'), bytes: z.custom<Uint8Array>(value => value instanceof Uint8Array)}),
	z.object({kind: z.literal('end'), end: z.enum(['complete', 'broken', 'retryable'])}),
	z.object({kind: z.literal('taken-over')}),
	z.object({kind: z.literal('idle')}),
]);

export type ReadReply = z.infer<typeof readReplySchema>;

/** A part of a leaving witness's table; frames are bounded, so a large one goes in several. */
export const handOverSchema = z.object({
	slot: z.string(),
	incarnation: z.number(),
	vouchesFrom: z.number(),
	floor: z.number(),
	part: z.int().min(0),
	parts: z.int().min(1).max(1000),
	claims: z.array(z.object({...scoped, ...claim})),
});

/** `isTaken` is `false` where the peer has no room. */
export const handOverReplySchema = z.object({isTaken: z.boolean()});

export type HandOverPart = z.infer<typeof handOverSchema>;

export const takeOverRequestSchema = z.object({part: z.int().min(0)});

export const takeOverReplySchema = z.union([z.object({kind: z.literal('nothing')}), handOverSchema.extend({kind: z.literal('part')})]);

export type TakeOverReply = z.infer<typeof takeOverReplySchema>;

export const methods = {
	claim: 'claim', join: 'join', read: 'read', handOver: 'hand-over', takeOver: 'take-over',
} as const;

export const events = {release: 'release', closeRead: 'close-read'} as const;
