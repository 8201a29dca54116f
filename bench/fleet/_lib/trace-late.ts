/** Reads from the entries why requests were refused late. */
import {isRecord} from '../../../src/_lib/is-record/index.js';
import {type FleetHost} from '../../../test/_lib/start-fleet/_lib/create-host.js';
import {type CallerResult} from './drive.js';

export type LateRefusal = {
	name: string;
	/** Time to the refusal as a share of the first-token target, as measured by the caller and by the entry. */
	callerPart: number;
	entryPart: number;
	cause: LateCause;
	/** Stages with their times in milliseconds since the entry received the request. */
	stages: string;
};

/**
 * Reason for a late refusal.
 *
 * - `waited`: admission refused the request after it had only waited in the queue.
 * - `bounced`: admission refused the request after it had been admitted once and found every server full.
 * - `placed`: admission admitted the request, but placement predicted a late first token for every pair.
 * - `unknown`: no entry has an account of the request.
 */
export type LateCause = 'waited' | 'bounced' | 'placed' | 'unknown';

type Stage = {stage: string; atMs: number};

/** A refusal after this share of the first-token target is late. */
export const lateShare = 0.8;

const accountTimeoutMs = 2000;

function isStage(value: unknown): value is Stage {
	return isRecord(value) && typeof value.stage === 'string' && typeof value.atMs === 'number';
}

async function fetchStages(host: FleetHost, requestId: string): Promise<Stage[] | undefined> {
	try {
		const res = await fetch(`${host.entryOperatorUrl}/explain/${requestId}`, {signal: AbortSignal.timeout(accountTimeoutMs)});
		const body: unknown = await res.json();
		return isRecord(body) && Array.isArray(body.stages) ? body.stages.filter(stage => isStage(stage)) : undefined;
	} catch {
		return undefined;
	}
}

function toCause(stages: readonly Stage[]): LateCause {
	const names = new Set(stages.map(({stage}) => stage));
	if (names.has('not placed') && !names.has('not admitted')) {
		return 'placed';
	}

	return names.has('bounced') ? 'bounced' : (names.has('not admitted') ? 'waited' : 'unknown');
}

async function trace(result: CallerResult, hosts: readonly FleetHost[]): Promise<LateRefusal> {
	const {arrival, isDesk, endMs, requestId} = result;
	const found = await Promise.all(hosts.map(async host => fetchStages(host, requestId)));
	const stages = found.find(each => each !== undefined) ?? [];
	return {
		name: `${isDesk ? 'desk' : arrival.class} ${arrival.id}`,
		callerPart: endMs / arrival.shape.firstTokenMs,
		entryPart: (stages.at(-1)?.atMs ?? 0) / arrival.shape.firstTokenMs,
		cause: toCause(stages),
		stages: stages.map(({stage, atMs}) => `${stage} ${Math.round(atMs)}`).join(', '),
	};
}

/**
 * Traces late refusals of measured quick requests.
 *
 * @param results - Results of callers.
 * @param hosts - Hosts whose entries may have an account of the request.
 * @returns Late refusals with their causes.
 */
export async function traceLate(results: readonly CallerResult[], hosts: readonly FleetHost[]): Promise<LateRefusal[]> {
	const late = results.filter(({arrival, fate, endMs}) => arrival.isMeasured && arrival.class === 'quick' && fate === 'refused' && endMs > lateShare * arrival.shape.firstTokenMs);
	return Promise.all(late.map(async result => trace(result, hosts)));
}
