/** What the callers of hosts see of the configuration. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type FleetHost} from '../../_lib/start-fleet/index.js';

const pollIntervalMs = 20;

type Observation = {marker: number; at: number};

/** The edition that a host's callers see, by the model that only this edition names. */
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

/** Looks at all hosts again and again, as callers do, and keeps each change. */
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
		reverted: () => [...seen].filter(([, looks]) => looks.some(({marker}, i) => i > 0 && marker < looks[i - 1]!.marker)).map(([id, looks]) => ({id, markers: looks.map(({marker}) => marker)})),
		async end() {
			hasEnded = true;
			await Promise.all(watches);
		},
	};
}
