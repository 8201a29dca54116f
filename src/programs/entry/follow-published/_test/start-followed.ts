/** A host that follows a scripted platform with two servers. */
import {createCollectedLines, type LogFields} from '../../../../../test/_lib/create-collected-lines/index.js';
import {createLog} from '../../../../adapters/log/index.js';
import {type Milliseconds, type Random} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {followPublished, type Follower} from '../index.js';
import {createScriptedPlatform, type ScriptedPlatform} from './create-scripted-platform.js';
import {createVirtualTime, type VirtualTime} from './create-virtual-time.js';

export type Followed = {
	time: VirtualTime;
	platform: ScriptedPlatform;
	follower: Follower;
	/** Names of the servers to which this host sends requests. */
	used: () => string[];
	/** Names of the servers that were lost without having announced that they leave. */
	lost: () => readonly string[];
	/** Servers that are gone, and the time for which each had been known to leave. */
	left: () => ReadonlyArray<{id: string; sinceMs: Milliseconds}>;
	logs: () => readonly LogFields[];
	stop: () => Promise<void>;
};

/**
 * Starts a host that follows a new scripted platform.
 *
 * @param random - Source of randomness for retry delays.
 * @param actWithinMs - Time within which the host must act on what is published.
 * @returns The host, before its first read.
 */
export function startFollowed(random: Random, actWithinMs: Milliseconds = 2 * msPerSecond): Followed {
	const time = createVirtualTime();
	const platform = createScriptedPlatform(time);
	const collected = createCollectedLines();
	const lost: string[] = [];
	const left: Array<{id: string; sinceMs: Milliseconds}> = [];
	platform.publishRules();
	platform.put('stays');
	platform.put('leaves');
	const follower = followPublished({
		source: platform.source,
		zones: [{id: 'a', region: 'r'}],
		clock: time.clock,
		random,
		log: createLog({
			level: 'info', program: 'test', host: 'a-1', zone: 'a', incarnation: 1, sink: collected.sink,
		}),
		onView: () => undefined,
		onServerLost({id}) {
			lost.push(id);
		},
		onServerLeft({id}, leavingSince) {
			left.push({id, sinceMs: time.clock.now() - leavingSince});
		},
		actWithinMs,
		sleep: time.sleep,
	});
	return {
		time,
		platform,
		follower,
		used: () => [...follower.toView()?.servers.values() ?? []].filter(({leaving}) => !leaving).map(({id}) => id).toSorted((a, b) => a.localeCompare(b)),
		lost: () => lost,
		left: () => left,
		logs: collected.lines,
		async stop() {
			const stopped = follower.stop();
			await time.runUntil(time.clock.now());
			await stopped;
		},
	};
}
