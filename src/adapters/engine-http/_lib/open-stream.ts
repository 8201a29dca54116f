/** Opens a stream: waits for the head of the answer, then returns its chunks. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {dispatchCall, type Call} from '../../_lib/dispatch-call/index.js';
import {toForeignMessage} from '../../_lib/read-answer/index.js';
import {type AttemptKey, type DecodeChunk, type EngineFailure} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {bytesPerKibibyte} from '../../../ports/units.js';
import {createChunkReader, type DropCause} from './create-chunk-reader.js';
import {type CallName} from './create-call-names.js';
import {createChunkStream, type ChunkStream} from './create-chunk-stream.js';
import {toFailure, toFaultFailure, toStatusFailure} from './to-failure.js';

export type StreamOptions = {
	call: Call;
	name: CallName;
	server: ServerId;
	key: AttemptKey;
	/** Offset of the first token wanted. */
	offset: number;
	maxLineBytes: number;
	onDropped: (cause: DropCause, tokens: number) => void;
};

/** Maximum number of bytes that are read of an error's body. */
const maxErrorBytes = 64 * bytesPerKibibyte;

/**
 * Opens one stream.
 *
 * @param options - The call, and the stream that is expected.
 * @returns The chunks once the stream has begun, or the failure.
 */
export async function openStream(options: StreamOptions): Promise<Result<AsyncIterable<DecodeChunk>, EngineFailure>> {
	const {call, name, server, key, offset, maxLineBytes, onDropped} = options;
	return new Promise(resolve => {
		const errorParts: Buffer[] = [];
		let errorBytes = 0;
		let head: {status: number; headers: Record<string, string | string[] | undefined>} | undefined;
		let stream: ChunkStream | undefined;
		dispatchCall({...call, headers: {...call.headers, ...name.headers}}, {
			onStart(status, headers, flow) {
				const owner = name.toOwner(status, headers);
				if (owner.kind === 'foreign') {
					flow.abandon();
					resolve(err(toFailure(server, 'invalid', toForeignMessage(status, owner))));
					return;
				}

				if (status !== 200) {
					head = {status, headers};
					return;
				}

				const reader = createChunkReader({
					requestId: key.requestId, attempt: key.attempt, offset, maxLineBytes, onDropped,
				});
				stream = createChunkStream({
					key, reader, flow, toFailure: (kind, message) => toFailure(server, kind, message),
				});
				resolve(ok(stream.chunks));
			},
			onData(bytes) {
				if (stream !== undefined) {
					stream.onData(bytes);
				} else if (errorBytes < maxErrorBytes) {
					errorBytes += bytes.length;
					errorParts.push(bytes);
				}
			},
			onEnd() {
				if (stream === undefined) {
					const text = Buffer.concat(errorParts).toString('utf8');
					resolve(err(toStatusFailure(server, {
						status: 0, headers: {}, ...head, text,
					})));
				} else {
					stream.onEnd();
				}
			},
			onFault(fault) {
				if (stream === undefined) {
					resolve(err(toFaultFailure(server, fault)));
				} else {
					stream.onFault(fault);
				}
			},
		});
	});
}
