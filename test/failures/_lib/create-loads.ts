import {type FleetHost} from '../../_lib/start-fleet/index.js';
import {startCall, type CallResult} from './start-call.js';

const callerCount = 6;

export type Load = {
	/** Results received so far. */
	results: readonly CallResult[];
	/** Stops sending and waits for the outstanding answers. */
	end: () => Promise<void>;
};

/** Starts callers that send requests in a loop, to each host in turn, until the load is ended. */
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

/** Tracks the loads of a test, so that they can be ended even if the test fails. */
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
