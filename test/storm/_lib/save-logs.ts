/** Saves what is needed to trace a broken promise: the faults, the calls, and the log of every process. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {type FleetHost} from '../../_lib/start-fleet/index.js';
import {type InjectedFault, type Reversion, type Sent} from './types.js';

export type SavedEvidence = {
	/** Hosts of the fleet and their twins. */
	hosts: readonly FleetHost[];
	injectedFaults: readonly InjectedFault[];
	sent: readonly Sent[];
	reversions: readonly Reversion[];
};

/** Converts monotonic milliseconds of this process to the time stamp of log lines. */
function toTimeStamp(at: number): string {
	return Number.isFinite(at) ? new Date(performance.timeOrigin + at).toISOString() : 'never';
}

function toLines(items: readonly unknown[]): string {
	return items.map(item => JSON.stringify(item) + '\n').join('');
}

/**
 * Writes files of JSON lines: the faults, the calls, the reversions, and the log
 * of each process that a host has started.
 *
 * @param folder - Folder of the files; created if it is missing.
 * @param evidence - What happened in a storm that has ended.
 */
export function saveLogs(folder: string, {hosts, injectedFaults, sent, reversions}: SavedEvidence): void {
	mkdirSync(folder, {recursive: true});
	const toSpan = ({from, to}: {from: number; to: number}) => ({from: toTimeStamp(from), to: toTimeStamp(to)});
	writeFileSync(path.join(folder, 'faults.jsonl'), toLines(injectedFaults.map(fault => ({...fault, ...toSpan(fault)}))));
	writeFileSync(path.join(folder, 'calls.jsonl'), toLines(sent.map(call => ({...call, ...toSpan(call)}))));
	writeFileSync(path.join(folder, 'reversions.jsonl'), toLines(reversions.map(reversion => ({...reversion, at: toTimeStamp(reversion.at)}))));
	for (const program of hosts.flatMap(host => host.programs())) {
		const name = `${program.label.replaceAll(' ', '-')}-${program.pid}.jsonl`;
		writeFileSync(path.join(folder, name), toLines(program.logs()));
	}
}
