/** The users' two fleets: servers, request sizes and targets. */
import {type ServiceClass} from '../../../src/ports/outcome.js';

export type WorkShape = {
	promptTokens: number;
	outputTokens: number;
	firstTokenMs: number;
	completeMs: number;
};

export type PoolTable = {
	name: string;
	prefillServers: number;
	decodeServers: number;
	/** Fraction of the offered place time that belongs to quick requests. */
	quickPart: number;
};

export type Fleet = {
	name: string;
	pools: readonly PoolTable[];
	shapes: Readonly<Record<ServiceClass, WorkShape>>;
	workspaces: number;
};

/** Requests that fit into the memory of one decode engine. */
export const placesPerDecodeServer = 20;
export const decodeMsPerToken = 20;
export const prefillTokensPerMs = 16;
export const kvBytesPerToken = 131_072;
export const linkBytesPerMs = 2_500_000;
/** Time after which a KV cache that has not been transferred expires. */
export const kvLifeMs = 800;

const quickShape: WorkShape = {
	promptTokens: 200, outputTokens: 24, firstTokenMs: 1300, completeMs: 3000,
};

export const fleets: readonly Fleet[] = [
	{
		name: 'Naslovnik',
		pools: [
			{
				name: 'summaries', prefillServers: 5, decodeServers: 8, quickPart: 0.2,
			},
			{
				name: 'desk', prefillServers: 1, decodeServers: 3, quickPart: 0.5,
			},
		],
		shapes: {
			quick: quickShape,
			batch: {
				promptTokens: 2000, outputTokens: 240, firstTokenMs: 30_000, completeMs: 45_000,
			},
		},
		workspaces: 60,
	},
	{
		name: 'Glossworks',
		pools: [
			{
				name: 'scenes', prefillServers: 2, decodeServers: 4, quickPart: 0.2,
			},
			{
				name: 'editors', prefillServers: 1, decodeServers: 2, quickPart: 0.5,
			},
		],
		shapes: {
			quick: quickShape,
			batch: {
				promptTokens: 4000, outputTokens: 600, firstTokenMs: 60_000, completeMs: 90_000,
			},
		},
		workspaces: 30,
	},
];

/** Returns the time, in milliseconds, for which a request holds a decode place if it never queues. */
export function toHoldMs(shape: WorkShape): number {
	return toPrefillMs(shape) + toTransferMs(shape) + (shape.outputTokens * decodeMsPerToken);
}

export function toPrefillMs(shape: WorkShape): number {
	return shape.promptTokens / prefillTokensPerMs;
}

export function toTransferMs(shape: WorkShape): number {
	return shape.promptTokens * kvBytesPerToken / linkBytesPerMs;
}
