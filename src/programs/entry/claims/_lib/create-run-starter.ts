import {type ScopedKey} from '../../../../domain/create-claim-witness/index.js';
import {type RunTable, type RunWriter} from '../../../../domain/create-run-table/index.js';
import {type Clock} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type Claimed, type KeyedRequest} from '../types.js';

export type RunStarterOptions = {
	runs: RunTable;
	clock: Clock;
	releaseEverywhere: (request: ScopedKey & {claimId: string}) => void;
};

/**
 * Creates the function that starts the run of a granted claim.
 *
 * @param options - The run table, and how to release a claim.
 * @returns The function. It is synchronous, so that a peer that asks to join finds either the pending claim or the run in the table.
 */
export function createRunStarter({runs, clock, releaseEverywhere}: RunStarterOptions): (request: KeyedRequest, claimId: string) => Claimed {
	/** Wraps a writer so that ending it releases the claim if the table dropped the run; any host may then claim the key again. */
	function toReleasingWriter(writer: RunWriter, request: {workspace: string; key: string; claimId: string}): RunWriter {
		let isEnded = false;
		return {
			...writer,
			end(how, now) {
				if (isEnded) {
					return;
				}

				isEnded = true;
				writer.end(how, now);
				if (!runs.has(request)) {
					releaseEverywhere(request);
				}
			},
		};
	}

	function refuseStart({workspace, key}: KeyedRequest, claimId: string): Claimed {
		releaseEverywhere({workspace, key, claimId});
		return {
			kind: 'refused',
			problem: {
				kind: 'queue-full', detail: 'This host keeps as many keyed requests as it can.', outcome: 'not-run', retryAfterMs: msPerSecond,
			},
		};
	}

	return (request, claimId) => {
		const {workspace, key, digest, isRepeatable, onAbandoned} = request;
		const started = runs.start({
			workspace, key, digest, isRepeatable, onAbandoned,
		}, clock.now());
		if (started.isErr()) {
			return refuseStart(request, claimId);
		}

		// Cannot fail: the run has just started, and none of its bytes was dropped.
		const reader = runs.join(request, clock.now())._unsafeUnwrap();
		return {kind: 'run', writer: toReleasingWriter(started.value, {workspace, key, claimId}), reader};
	};
}
