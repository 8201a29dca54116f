/** Polls the configuration that each program shows. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Fleet, type FleetHost} from '../../_lib/start-fleet/index.js';
import {type Documents} from './create-documents.js';
import {type Reversion} from './types.js';

type ShownVersion = {digest: string; revision: number};
type ProgramName = Reversion['program'];
type Observation = {pid: number; position: number; shown: ShownVersion};

export type VersionWatch = {
	reversions: () => readonly Reversion[];
	/** Programs that showed a document that is not one of the good edits, with that document. */
	unexpectedDocuments: () => readonly string[];
	observationCount: () => number;
	/** Highest position of a good edit that any program showed. */
	highest: () => number;
	end: () => Promise<void>;
};

const pollIntervalMs = 100;
const requestTimeoutMs = 1500;

/** Asks a program which configuration is in force; `undefined` when it doesn't answer or shows none. */
export async function fetchVersion(host: FleetHost, program: ProgramName): Promise<ShownVersion | undefined> {
	try {
		const url = program === 'agent' ? host.agentOperatorUrl : host.entryOperatorUrl;
		const res = await fetch(`${url}/status`, {signal: AbortSignal.timeout(requestTimeoutMs)});
		const body = await res.json() as {config?: ShownVersion; configuration?: ShownVersion};
		return program === 'agent' ? body.config : body.configuration;
	} catch {
		return undefined;
	}
}

function toText({digest, revision}: ShownVersion, position: number): string {
	return `edit ${position} (revision ${revision}, ${digest.slice(0, 12)})`;
}

/** Starts to poll all programs of a fleet. */
export function watchVersions(fleet: Fleet, documents: Documents): VersionWatch {
	const reversions: Reversion[] = [];
	const unexpectedDocuments: string[] = [];
	let observationCount = 0;
	let highest = 0;
	const ending = new AbortController();

	const compare = (host: FleetHost, program: ProgramName, before: Observation | undefined, now: Observation): void => {
		if (before !== undefined && now.position < before.position) {
			reversions.push({
				host: host.id,
				program,
				isSameLife: before.pid === now.pid,
				from: toText(before.shown, before.position),
				to: toText(now.shown, now.position),
				at: performance.now(),
			});
		}
	};

	const watch = async (host: FleetHost, program: ProgramName): Promise<void> => {
		let last: Observation | undefined;
		while (!ending.signal.aborted) {
			const {pid} = host[program]();
			const shown = await fetchVersion(host, program);
			// If the process was replaced during the request, either process may have answered.
			if (shown !== undefined && host[program]().pid === pid) {
				const position = documents.toPosition(shown.digest);
				observationCount += 1;
				if (position === undefined) {
					unexpectedDocuments.push(`${program} of ${host.id}: ${JSON.stringify(shown)}`);
				} else {
					const now = {pid, position, shown};
					compare(host, program, last, now);
					last = now;
					highest = Math.max(highest, position);
				}
			}

			await sleep(pollIntervalMs);
		}
	};

	const done = Promise.all(fleet.hosts.flatMap(host => [watch(host, 'agent'), watch(host, 'entry')]));
	return {
		reversions: () => reversions,
		unexpectedDocuments: () => unexpectedDocuments,
		observationCount: () => observationCount,
		highest: () => highest,
		async end() {
			ending.abort();
			await done;
		},
	};
}
