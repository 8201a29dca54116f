/** Reads what the stand-ins counted for each piece of work. The counts don't depend on the code under test. */
import {type Fleet} from '../../_lib/start-fleet/index.js';
import {type Work} from './types.js';

export type Runs = {
	/** Prefills, streams and desk calls started. */
	begun: number;
	prefills: number;
	/** Answers begun: streams, or changes made at the desk service. */
	runs: number;
	/** Ids of the router's requests that began an answer. */
	requestIds: readonly string[];
};

const noRuns: Runs = {
	begun: 0, prefills: 0, runs: 0, requestIds: [],
};

/**
 * Counts the runs of all model work.
 *
 * @param fleet - Fleet whose engines are read.
 * @returns Counts by id of the work.
 */
export function countModelRuns(fleet: Fleet): ReadonlyMap<string, Runs> {
	const counted = new Map<string, Runs>();
	const owners = new Map<string, string>();
	const judged = [...fleet.engines.values()].map(engine => engine.judge());
	for (const {prompts} of judged) {
		for (const [requestId, prompt] of Object.entries(prompts)) {
			owners.set(requestId, prompt.split(' ', 1)[0]!);
		}
	}

	for (const {requests} of judged) {
		for (const [requestId, {prefillsStarted, decodesStarted}] of Object.entries(requests)) {
			const id = owners.get(requestId);
			if (id !== undefined) {
				const {begun, prefills, runs, requestIds} = counted.get(id) ?? noRuns;
				counted.set(id, {
					begun: begun + prefillsStarted + decodesStarted,
					prefills: prefills + prefillsStarted,
					runs: runs + decodesStarted,
					requestIds: decodesStarted > 0 ? [...new Set([...requestIds, requestId])] : requestIds,
				});
			}
		}
	}

	return counted;
}

/** Counts the runs of one piece of work. */
export function countRuns(fleet: Fleet, work: Work): Runs {
	if (work.kind === 'desk change') {
		const runs = fleet.plains.reduce((sum, plain) => sum + plain.countWork(work.key!), 0);
		return {...noRuns, begun: runs, runs};
	}

	if (work.kind === 'desk lookup') {
		const runs = fleet.plains.reduce((sum, plain) => sum + plain.calls().filter(({path}) => path.endsWith(`/${work.id}`)).length, 0);
		return {...noRuns, begun: runs, runs};
	}

	return countModelRuns(fleet).get(work.id) ?? noRuns;
}
