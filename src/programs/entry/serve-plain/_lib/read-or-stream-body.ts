/** Bodies of requests to plain services. */
import {type Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Problem} from '../../../../domain/to-problem/index.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';
import {createPlainBody, type PlainBody} from '../../_lib/plain-body.js';
import {toBodyProblem} from '../../_lib/problems.js';
import {type ServeContext} from '../../_lib/serve-types.js';

/** Bodies up to this size are buffered, so that they can be sent again. */
const bufferedBodyBytes = 64 * bytesPerKibibyte;

/**
 * Reads the whole body, or returns it as a stream. The body of a keyed request is
 * read whole because its digest must be known before the key is claimed; the body
 * of a relayed request, because it is sent to several servers.
 *
 * @param exchange - The caller's request.
 * @param ctx - Services of the entry, with the limits of bodies.
 * @param isWhole - Whether the body must be read whole.
 * @returns The body; a problem to answer with, or `gone` if the caller disconnected.
 */
export async function readOrStreamBody(exchange: CallerExchange, ctx: ServeContext, isWhole: boolean): Promise<Result<PlainBody, Problem | 'gone'>> {
	const {maxBodyBytes: limitBytes, bodyTimeoutMs: timeoutMs} = ctx.limits;
	const length = exchange.headers['content-length'];
	const hasBody = exchange.headers['transfer-encoding'] !== undefined || Number(length ?? 0) > 0;
	if (Number(length ?? 0) > limitBytes) {
		return err(toBodyProblem('body-too-large', {limitBytes, timeoutMs}));
	}

	if (!hasBody || (!isWhole && (length === undefined || Number(length) > bufferedBodyBytes))) {
		return ok(createPlainBody(exchange, {hasBody, limitBytes, timeoutMs}));
	}

	const whole = await exchange.readBody({limitBytes, timeoutMs, signal: ctx.stopDeadline.signal});
	return whole
		.map((bytes: Buffer): PlainBody => ({
			open: () => bytes, bytes: () => bytes, isTaken: () => false, fault: () => undefined,
		}))
		.mapErr(fault => fault === 'gone' ? fault : toBodyProblem(fault, {limitBytes, timeoutMs}));
}
