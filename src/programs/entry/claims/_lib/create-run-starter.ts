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
 * Creates the function that begins the run of a granted claim.
 *
 * @param options - The table, and how to give a claim back.
 * @returns The function; it does not wait, so that whoever asks to join finds either the claim undecided or the run in the table.
 */
export function createRunStarter({runs, clock, releaseEverywhere}: RunStarterOptions): (request: KeyedRequest, claimId: string) => Claimed {
	/** Gives the claim back when the run left the table, so that the same key may be sent again to any host. */
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

		// Never fails: the run has just begun, and nothing of it was dropped.
		const reader = runs.join(request, clock.now())._unsafeUnwrap();
		return {kind: 'run', writer: toReleasingWriter(started.value, {workspace, key, claimId}), reader};
	};
}
