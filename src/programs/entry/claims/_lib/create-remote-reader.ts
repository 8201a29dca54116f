import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {type RunPart, type RunReader} from '../../../../domain/create-run-table/index.js';
import {msPerSecond} from '../../../../ports/units.js';
import {events, methods, readReplySchema} from './messages.js';

/** Longer than a peer holds a read while it has nothing new. */
const readTimeoutMs = 15 * msPerSecond;

const brokenEnd: RunPart = {kind: 'end', end: 'broken'};

/**
 * Creates a reader of a run on another host. A lost reply loses the bytes in it,
 * so any failed call ends the answer as `broken`; the caller may call again with
 * the same key.
 *
 * @param connection - Connection to the host of the run.
 * @param readId - Id of the reader that the host opened for this one.
 * @returns The reader.
 */
export function createRemoteReader(connection: PeerConnection, readId: number): RunReader {
	let last: RunPart | undefined;

	async function next(): Promise<RunPart> {
		while (last === undefined) {
			const reply = await connection.call(methods.read, {readId}, {timeoutMs: readTimeoutMs});
			const part = readReplySchema.safeParse(reply.unwrapOr(undefined));
			if (!part.success) {
				last = brokenEnd;
			} else if (part.data.kind === 'end' || part.data.kind === 'taken-over') {
				last = part.data;
			} else if (part.data.kind !== 'idle') {
				return part.data;
			}
		}

		return last;
	}

	return {
		next,
		close() {
			last ??= brokenEnd;
			connection.send(events.closeRead, {readId});
		},
	};
}
