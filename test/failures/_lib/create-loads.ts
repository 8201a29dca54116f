import {type FleetHost} from '../../_lib/start-fleet/index.js';
import {startCall, type CallResult} from './start-call.js';

const callerCount = 6;

export type Load = {
	/** Answers so far. */
	results: readonly CallResult[];
	/** Lets the callers have their last answers. */
	end: () => Promise<void>;
};

/** Callers that ask again and again, each host in turn, until they are ended. */
function startLoad(hosts: readonly FleetHost[], name: string): Load {
	const results: CallResult[] = [];
	const ending = new AbortController();
	const callers = Array.from({length: callerCount}, async (_, caller) => {
		for (let i = 0; !ending.signal.aborted; i++) {
			const host = hosts[(caller + i) % hosts.length]!;
			results.push(await startCall(host.callerUrl, {prompt: `${name} ${caller} ${i}: a letter`, maxTokens: 5}).done);
		}
	});
	return {
		results,
		async end() {
			ending.abort();
			await Promise.all(callers);
		},
	};
}

/** Keeps the loads of a case, so that they end with it also when it fails. */
export function createLoads() {
	const loads: Load[] = [];
	return {
		start(hosts: readonly FleetHost[], name: string): Load {
			const load = startLoad(hosts, name);
			loads.push(load);
			return load;
		},
		async endAll(): Promise<void> {
			await Promise.all(loads.splice(0).map(async load => load.end()));
		},
	};
}
