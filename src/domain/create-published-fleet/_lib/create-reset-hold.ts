/**
 * The hold after the platform was restored from an older copy: until servers have
 * written their entries again, the state known before takes precedence over the copy.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerId} from '../../../ports/ids.js';

/** Maximum number of servers remembered as gone. The oldest are dropped first, which is safe because a copy is only some seconds old. */
const maxGone = 1024;

export type ResetHold = {
	/** Starts the hold, or extends it up to this time. */
	begin: (until: Milliseconds) => void;
	/** Whether the known state takes precedence over the listed one. */
	isOn: (now: Milliseconds) => boolean;
	/** When the hold expires; `undefined` when there is none, or once a full read after it has ended it. */
	until: () => Milliseconds | undefined;
	/** Ends the hold after a full read. */
	end: () => void;
	noteGone: (server: ServerId) => void;
	wasGone: (server: ServerId) => boolean;
};

/**
 * Creates the state of a host whose platform has not been restored from a copy.
 *
 * @returns Functions that control and query the hold; `now` is monotonic milliseconds.
 */
export function createResetHold(): ResetHold {
	const gone = new Set<ServerId>();
	let heldUntil: Milliseconds | undefined;
	return {
		begin(until) {
			heldUntil = Math.max(heldUntil ?? -Infinity, until);
		},
		isOn: now => heldUntil !== undefined && now < heldUntil,
		until: () => heldUntil,
		end() {
			heldUntil = undefined;
		},
		noteGone(server) {
			if (gone.size >= maxGone) {
				const [oldest] = gone;
				gone.delete(oldest!);
			}

			gone.delete(server);
			gone.add(server);
		},
		wasGone: server => gone.has(server),
	};
}
