import {type Milliseconds} from '../../../../ports/clock.js';

export type Timers = {
	/** Calls the function once the time has passed. */
	after: (ms: Milliseconds, act: () => void) => void;
	/** Advances the fleet, then calls what is due. */
	pass: (ms: Milliseconds) => void;
};

/**
 * Creates timers in the virtual time of a fleet.
 *
 * @param fleet - The fleet.
 * @returns See {@link Timers}.
 */
export function createTimers(fleet: {now: () => Milliseconds; pass: (ms: Milliseconds) => void}): Timers {
	let pending: Array<{at: Milliseconds; act: () => void}> = [];
	return {
		after(ms, act) {
			pending.push({at: fleet.now() + ms, act});
		},
		pass(ms) {
			fleet.pass(ms);
			const due = pending.filter(({at}) => at <= fleet.now());
			pending = pending.filter(({at}) => at > fleet.now());
			for (const {act} of due) {
				act();
			}
		},
	};
}
