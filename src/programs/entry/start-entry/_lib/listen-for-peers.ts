/** The port on which other hosts pass requests on to this one. */
import {startCallerServer, type CallerHandlers, type CallerServer} from '../../../../adapters/caller-http/index.js';
import {maxHeaderLimitBytes} from '../../../../ports/config.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';
import {outcomeHeader, readPassed} from '../../_lib/passed-headers.js';
import {type CallerWaits, type EntryOptions} from './types.js';

/** Bytes by which the headers of hosts make the head of a request longer. */
const addedHeaderBytes = 16 * bytesPerKibibyte;

/**
 * Starts the port. Without it this host still serves its own callers, so a port that
 * can't be opened is only logged.
 *
 * @param options - Options of the entry; nothing is started without an address for peers.
 * @param handlers - Handlers of callers' requests.
 * @param waits - How long requests wait to be started.
 * @returns The running server, or none.
 */
export async function listenForPeers({peerListener, settings, clock, log, callers}: EntryOptions, handlers: CallerHandlers, waits: CallerWaits): Promise<readonly CallerServer[]> {
	if (peerListener === undefined) {
		return [];
	}

	try {
		return [await startCallerServer({
			...waits,
			now: clock.now,
			bind: peerListener.bind,
			port: peerListener.port,
			maxConnections: settings.maxConnections,
			// The host that took the request has checked its head, by a limit that may be newer than this host's.
			maxHeaderBytes: maxHeaderLimitBytes + addedHeaderBytes,
			headersTimeoutMs: settings.headerTimeout,
			keepAliveTimeoutMs: settings.keepAliveTimeout,
			writeTimeoutMs: settings.writeTimeout,
			isRelayOnly: true,
			requestIdHeader: callers?.requestIdHeader,
			problemStyle: {outcomeHeader},
		}, {
			...handlers,
			async plain(exchange) {
				const passed = readPassed(exchange);
				if (passed === undefined) {
					exchange.sendProblem({kind: 'bad-request', detail: 'This port takes requests that another host passes on.', outcome: 'not-run'});
					return;
				}

				await handlers.plain(passed);
			},
		})];
	} catch (error) {
		log.error('cannot open the port for requests of other hosts; they can pass none on to this host', {...peerListener, reason: error instanceof Error ? error.message : String(error)});
		return [];
	}
}
