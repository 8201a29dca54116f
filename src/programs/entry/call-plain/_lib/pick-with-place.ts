/** Picks a plain server with a free place. */
import {ok, type Result} from 'neverthrow';
import {type PlacementRefusal, type PlainPlacement} from '../../../../domain/create-placement/index.js';
import {type Place} from '../../../../ports/places.js';
import {type ServerId} from '../../../../ports/ids.js';
import {type PlainRun} from './types.js';

export type PlacedServer = {
	picked: PlainPlacement;
	/** Gives the place back; does nothing where places are not counted. */
	leave: () => void;
};

type Pick = (exclude: ReadonlySet<ServerId>) => Result<PlainPlacement, PlacementRefusal>;

const leaveNothing = (): void => undefined;

/** Counts the request at a server that is full, without waiting for the answer. */
function force(picked: PlainPlacement, {ctx}: PlainRun): PlacedServer {
	const taking = ctx.places?.take(picked.server, {isForced: true});
	return {
		picked,
		async leave() {
			const place = await taking;
			place?.leave();
		},
	};
}

const toPlaced = (picked: PlainPlacement, place: Place | undefined): PlacedServer => ({picked, leave: place?.leave ?? leaveNothing});

/**
 * Picks a server, and another one if the first is full. If both are full, the one
 * with the fewer requests gets the request into its queue. Two choices keep queues
 * nearly as short as asking for all servers.
 *
 * @param run - The request.
 * @param pick - Picks the best server except the given ones.
 * @returns The server, with the place that was taken there.
 */
export async function pickWithPlace(run: PlainRun, pick: Pick): Promise<Result<PlacedServer, PlacementRefusal>> {
	const {places} = run.ctx;
	const tried = run.tried.map(({server}) => server);
	const first = pick(new Set(tried));
	if (places === undefined || first.isErr()) {
		return first.map(picked => toPlaced(picked, undefined));
	}

	const firstPlace = await places.take(first.value.server, {isForced: false});
	if (firstPlace === undefined || firstPlace.isTaken) {
		return ok(toPlaced(first.value, firstPlace));
	}

	const second = pick(new Set([...tried, first.value.server.id]));
	// A place in a queue costs a caller some milliseconds, a server that may be cut off a timeout.
	if (second.isErr() || second.value.cooldown > first.value.cooldown) {
		return ok(force(first.value, run));
	}

	const secondPlace = await places.take(second.value.server, {isForced: false});
	if (secondPlace === undefined || secondPlace.isTaken) {
		return ok(toPlaced(second.value, secondPlace));
	}

	return ok(force(secondPlace.count < firstPlace.count ? second.value : first.value, run));
}
