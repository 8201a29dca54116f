/** Handlers of callers' requests by kind. */
import {type CallerHandlers} from '../../../../adapters/caller-http/index.js';
import {type PlainClients} from '../../_lib/plain-clients.js';
import {type ServeContext} from '../../_lib/serve-types.js';
import {serveCompletion} from '../../serve-completion/index.js';
import {serveModels} from '../../serve-models/index.js';
import {servePlain} from '../../serve-plain/index.js';
import {type Ticker} from '../../start-ticker/index.js';

/**
 * Creates the handlers of callers' requests.
 *
 * @param ctx - Services of the entry.
 * @param clients - HTTP clients of plain services.
 * @param ticker - Ticker that each request wakes.
 * @returns The handlers.
 */
export function createHandlers(ctx: ServeContext, clients: PlainClients, ticker: Ticker): CallerHandlers {
	/** Wakes the ticker. The handler has run up to its first wait by then, so the request counts as in progress. */
	async function wakeTicker(serving: Promise<void>): Promise<void> {
		ticker.wake();
		return serving;
	}

	return {
		completion: async exchange => wakeTicker(serveCompletion('completion', exchange, ctx)),
		chat: async exchange => wakeTicker(serveCompletion('chat', exchange, ctx)),
		async models(exchange) {
			serveModels(exchange, ctx.services.toView());
		},
		plain: async exchange => wakeTicker(servePlain(exchange, ctx, clients)),
		onFault(error, exchange) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			ctx.log.error('request broken off by a fault of the program', {requestId: exchange.requestId, reason});
		},
	};
}
