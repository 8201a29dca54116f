/** Injects planned faults and records when each began and ended. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Fleet, type FleetHost} from '../../_lib/start-fleet/index.js';
import {createHost, type Flags} from '../../_lib/start-fleet/_lib/create-host.js';
import {type EngineFaults} from '../../stand-ins/engine/index.js';
import {type PlainFaults} from '../../stand-ins/plain/index.js';
import {type PlatformFaults} from '../../stand-ins/platform/index.js';
import {createCuts} from './create-cuts.js';
import {type Documents} from './create-documents.js';
import {type FaultKind, type PlannedFault, type InjectedFault} from './types.js';

const stopDeadlineMs = 90_000;
const lostCancels = 5;
const brokenStreams = 8;
const droppedCalls = 3;
const streamKinds = ['short', 'reset', 'stall', 'garbage', 'duplicated', 'skipped', 'wrong-attempt'] as const;
const refusedSteps = ['reservations', 'prefills', 'imports', 'streams'] as const;
const dropKinds = ['before', 'after', 'midway'] as const;

/** Injects a fault and returns a function that ends it. */
type Inject = (fault: PlannedFault) => Promise<() => Promise<unknown> | void> | (() => Promise<unknown> | void);

/** Sets fault switches of a stand-in and returns a function that removes them. */
function setFields<T extends object>(faults: T, fields: Partial<T>): () => void {
	Object.assign(faults, fields);
	return () => {
		for (const name of Object.keys(fields)) {
			Reflect.deleteProperty(faults, name);
		}
	};
}

function createHostFaults(fleet: Fleet): Partial<Record<FaultKind, Inject>> {
	const toHost = ({targets}: PlannedFault): FleetHost => fleet.host(targets[0]!);
	return {
		async 'kill entry'(fault) {
			await toHost(fault).entry().kill();
			return async () => toHost(fault).startEntry();
		},
		async 'kill agent'(fault) {
			await toHost(fault).agent().kill();
			return async () => toHost(fault).startAgent();
		},
		async 'kill host'(fault) {
			await toHost(fault).kill();
			return async () => toHost(fault).start();
		},
		'pause entry'(fault) {
			toHost(fault).entry().pause();
			return () => {
				toHost(fault).entry().resume();
			};
		},
		'pause agent'(fault) {
			toHost(fault).agent().pause();
			return () => {
				toHost(fault).agent().resume();
			};
		},
		'pause host'(fault) {
			toHost(fault).pause();
			return () => {
				toHost(fault).resume();
			};
		},
		async 'restart host'(fault) {
			await toHost(fault).stop(stopDeadlineMs);
			return async () => toHost(fault).start();
		},
	};
}

/** Starts a second host under the name of a running one, as when a host is replaced because it was wrongly thought dead. Callers send requests to both. */
function createTwinFault(fleet: Fleet, entryFlags: Flags): {twins: ReadonlySet<FleetHost>; allTwins: readonly FleetHost[]; inject: Inject} {
	const twins = new Set<FleetHost>();
	const allTwins: FleetHost[] = [];
	return {
		twins,
		allTwins,
		async inject({targets}) {
			const {id, zone} = fleet.host(targets[0]!);
			const twin = await createHost({
				id,
				zone,
				platformUrl: fleet.platform.url,
				seeds: () => fleet.hosts.map(({agentAddress}) => agentAddress),
				agentFlags: {},
				entryFlags,
				entryClock: {},
				network: {network: fleet.network, site: fleet.network.addSite([id, zone, 'hosts'])},
			});
			allTwins.push(twin);
			await twin.start();
			twins.add(twin);
			return async () => {
				twins.delete(twin);
				await twin.stop(stopDeadlineMs);
			};
		},
	};
}

function createOtherFaults(fleet: Fleet, documents: Documents): Partial<Record<FaultKind, Inject>> {
	const cuts = createCuts(fleet.network);
	const platform: PlatformFaults = {};
	const setPlatform = (fields: PlatformFaults): (() => void) => {
		const undo = setFields(platform, fields);
		fleet.platform.setFaults({...platform});
		return () => {
			undo();
			fleet.platform.setFaults({...platform});
		};
	};

	return {
		'cut zone off': ({targets: [zone]}) => cuts.add(network => {
			network.isolate(zone!);
		}),
		'cut zones apart': ({targets: [zone, other]}) => cuts.add(network => {
			network.cut(zone!, other!);
		}),
		'cut zones one way': ({targets: [zone, other]}) => cuts.add(network => {
			network.cut(zone!, other!, {isOneWay: true});
		}),
		'cut zone from platform': ({targets: [zone]}) => cuts.add(network => {
			network.cut(zone!, 'platform');
		}),
		'stale platform': () => setPlatform({frozen: true}),
		'old platform': () => setPlatform({oldRevision: 1}),
		'platform down': () => setPlatform({down: true}),
		async 'crash engine'({targets: [id]}) {
			await fleet.engine(id!).crash();
			return async () => fleet.engine(id!).revive();
		},
		'lose cancels': ({targets: [id]}) => setFields<EngineFaults>(fleet.engine(id!).faults, {loseCancels: {times: lostCancels}}),
		'break streams': ({targets: [id], variant}) => setFields<EngineFaults>(fleet.engine(id!).faults, {
			stream: {kind: streamKinds[variant % streamKinds.length]!, atToken: variant % 7, times: brokenStreams},
		}),
		'cross streams'() {
			const ends = [...fleet.engines.values()].map(engine => setFields<EngineFaults>(engine.faults, {stream: {kind: 'crossed'}}));
			return () => {
				for (const end of ends) {
					end();
				}
			};
		},
		'drop desk calls': ({targets: [id], variant}) => setFields<PlainFaults>(fleet.plains.find(plain => plain.id === id)!.faults, {
			drop: dropKinds[variant % dropKinds.length]!, times: droppedCalls,
		}),
		'refuse work'({variant}) {
			const on = [refusedSteps[variant % refusedSteps.length]!];
			const ends = [...fleet.engines.values()].map(engine => setFields<EngineFaults>(engine.faults, {refuse: {reason: 'other', on}}));
			return () => {
				for (const end of ends) {
					end();
				}
			};
		},
		'publish good'() {
			documents.publishGood();
			return () => undefined;
		},
		'publish bad'({variant}) {
			documents.publishBad(variant);
			return () => undefined;
		},
	};
}

export type FaultInjector = {
	/** Injects a fault and ends it after its duration. Faults of the same target run one after another. */
	inject: (fault: PlannedFault) => Promise<void>;
	/** Ends all active faults; no fault begins after this call. */
	end: () => void;
	injected: () => readonly InjectedFault[];
	/** Running hosts that are not part of the fleet and use the name of one of its hosts. */
	twins: () => readonly FleetHost[];
	/** All such hosts so far, also those that were stopped. */
	allTwins: () => readonly FleetHost[];
};

/** Creates the fault injector of a fleet; `entryFlags` are the flags of its entries. */
export function createFaultInjector(fleet: Fleet, documents: Documents, entryFlags: Flags): FaultInjector {
	const twin = createTwinFault(fleet, entryFlags);
	const injectors = {...createHostFaults(fleet), ...createOtherFaults(fleet, documents), 'twin host': twin.inject};
	const injected: InjectedFault[] = [];
	const turns = new Map<string, Promise<void>>();
	const ending = new AbortController();

	const waitFor = async (forMs: number): Promise<void> => {
		try {
			await sleep(forMs, undefined, {signal: ending.signal});
		} catch {}
	};

	const injectNow = async (fault: PlannedFault): Promise<void> => {
		if (ending.signal.aborted) {
			return;
		}

		const entry: InjectedFault = {
			kind: fault.kind, targets: fault.targets, from: performance.now(), to: Infinity,
		};
		injected.push(entry);
		const end = await injectors[fault.kind]!(fault);
		await waitFor(fault.forMs);
		await end();
		entry.to = performance.now();
	};

	return {
		async inject(fault) {
			const name = fault.kind.startsWith('cut') ? fault.kind + fault.targets.join(' ') : (fault.targets[0] ?? fault.kind);
			const before = turns.get(name);
			const turn = (async () => {
				await before;
				await injectNow(fault);
			})();
			turns.set(name, turn);
			await turn;
		},
		end() {
			ending.abort();
		},
		injected: () => injected,
		twins: () => [...twin.twins],
		allTwins: () => twin.allTwins,
	};
}
