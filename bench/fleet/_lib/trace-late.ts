/** Asks the entries what became of calls that were refused late. */
import {isRecord} from '../../../src/_lib/is-record/index.js';
import {type FleetHost} from '../../../test/_lib/start-fleet/_lib/create-host.js';
import {type CallerResult} from './drive.js';

export type LateRefusal = {
	name: string;
	/** Time to the refusal as a share of the first-token target: as the caller saw it, and as the entry did. */
	callerPart: number;
	entryPart: number;
	cause: LateCause;
	/** Stages with their times, milliseconds since the entry had the request. */
	stages: string;
};

/**
 * - `waited`: the admission refused it, after it waited there all the time.
 * - `bounced`: the admission refused it, after it had been admitted and found every server full.
 * - `placed`: it was admitted, and no pair promised the first token in time.
 * - `unknown`: no entry has an account of it.
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
 * @param results - What callers saw.
 * @param hosts - The entries that may know more.
 * @returns Each measured refusal of quick work that came late, with its cause.
 */
export async function traceLate(results: readonly CallerResult[], hosts: readonly FleetHost[]): Promise<LateRefusal[]> {
	const late = results.filter(({arrival, fate, endMs}) => arrival.isMeasured && arrival.class === 'quick' && fate === 'refused' && endMs > lateShare * arrival.shape.firstTokenMs);
	return Promise.all(late.map(async result => trace(result, hosts)));
}
