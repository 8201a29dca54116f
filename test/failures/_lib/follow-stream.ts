/** A caller that takes its stream up again, and what it holds in the end. */
import {setTimeout as sleep} from 'node:timers/promises';
import {toStreamHeaders} from '../../stand-ins/users-platform/start-relay-fixture.js';
import {type Answer, type RelayCall} from '../../stand-ins/users-platform/send-call.js';

export type HeldEvent = {id: number; version: string};

export type FollowedStream = {
	/** Id of the first request without the number of the attempt. */
	requestId: string;
	/** Statuses of the caller's requests; 0 where it got no answer. */
	statuses: readonly number[];
	/** Answers with a failure. */
	refusals: readonly Answer[];
	events: readonly HeldEvent[];
	/** Whether the last answer ended in order. */
	isWhole: boolean;
};

/**
 * Reads the complete events of an answer.
 *
 * @param body - Body of the answer, perhaps cut.
 * @returns Id and software version of each event.
 */
export function toHeldEvents(body: string): HeldEvent[] {
	return [...body.matchAll(/id: (?<id>\d+)\ndata: piece \d+ of \S+ at (?<version>\S+)\n\n/gv)].map(({groups}) => ({id: Number(groups!.id), version: groups!.version!}));
}

/**
 * @param events - Events that a caller holds.
 * @returns Whether they are of one software version, and none is missing or there twice.
 */
export function isOneStream(events: readonly HeldEvent[]): boolean {
	return new Set(events.map(({version}) => version)).size <= 1 && events.every(({id}, i) => id === i + 1);
}

async function send(ask: (asked: RelayCall) => Promise<Answer>, asked: RelayCall): Promise<Answer | undefined> {
	try {
		return await ask(asked);
	} catch {
		// The host was killed before it answered, which a caller sees as a failed connection.
		return undefined;
	}
}

/**
 * Asks for a stream, and takes it up again at the next host as long as it breaks.
 *
 * @param ask - Sends a call to a host.
 * @param options - Id of the first request, hosts in the order in which they are asked, and pause before each further request.
 * @returns What the caller holds.
 */
export async function followStream(ask: (asked: RelayCall) => Promise<Answer>, {requestId, hosts, pauseMs = 100, headers = {}}: {requestId: string; hosts: readonly number[]; pauseMs?: number; headers?: Record<string, string>}): Promise<FollowedStream> {
	const statuses: number[] = [];
	const refusals: Answer[] = [];
	const events: HeldEvent[] = [];
	let origin: string | undefined;
	for (const [attempt, at] of hosts.entries()) {
		const id = `${requestId}-${attempt + 1}`;
		const answer = await send(ask, {
			path: '/notice/1', body: 'prompt', at, headers: toStreamHeaders({'request-id': id, ...headers, ...(origin !== undefined && {resumes: origin, 'last-event-id': String(events.at(-1)!.id)})}),
		});
		const received = toHeldEvents(answer?.body ?? '');
		origin ??= received.length > 0 ? id : undefined;
		events.push(...received);
		statuses.push(answer?.status ?? 0);
		if (answer !== undefined && answer.status !== 200) {
			refusals.push(answer);
		}

		if (answer?.status === 200 && answer.isWhole) {
			return {
				requestId, statuses, refusals, events, isWhole: true,
			};
		}

		await sleep(pauseMs);
	}

	return {
		requestId, statuses, refusals, events, isWhole: false,
	};
}
