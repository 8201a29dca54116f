/** Observes which edition of the configuration the callers of each host see. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type FleetHost} from '../../_lib/start-fleet/index.js';

const pollIntervalMs = 20;

type Observation = {marker: number; at: number};

/** Reads the marker of the edition that a host uses, from the model that only this edition lists; `undefined` if the host doesn't answer or lists none. */
export async function readMarker(host: FleetHost): Promise<number | undefined> {
	try {
		const answer = await fetch(`${host.callerUrl}/v1/models`, {headers: {'x-workspace': 'kavarna-lipa'}, signal: AbortSignal.timeout(2000)});
		const {data = []} = await answer.json() as {data?: Array<{id: string}>};
		const found = data.find(({id}) => id.startsWith('edition-'));
		return found && Number(found.id.slice('edition-'.length));
	} catch {
		return undefined;
	}
}

/** Polls all hosts as a caller and records each change of the edition. */
export function watchHosts(hosts: readonly FleetHost[]) {
	const seen = new Map<string, Observation[]>(hosts.map(({id}) => [id, []]));
	let hasEnded = false;
	const isOver = () => hasEnded;
	const watches = hosts.map(async host => {
		const observations = seen.get(host.id)!;
		while (!isOver()) {
			const marker = await readMarker(host);
			if (marker !== undefined && marker !== observations.at(-1)?.marker) {
				observations.push({marker, at: performance.now()});
			}

			await sleep(pollIntervalMs);
		}
	});
	return {
		latest: (host: FleetHost): Observation | undefined => seen.get(host.id)!.at(-1),
		/** Hosts whose callers saw an earlier edition after a later one. */
		reverted: () => [...seen]
			.filter(([, observations]) => observations.some(({marker}, i) => i > 0 && marker < observations[i - 1]!.marker))
			.map(([id, observations]) => ({id, markers: observations.map(({marker}) => marker)})),
		async end() {
			hasEnded = true;
			await Promise.all(watches);
		},
	};
}
