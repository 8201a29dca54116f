import {isSameOrigin, toStreamOrigin} from '../../../../domain/create-stream-binding/index.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type ServerId} from '../../../../ports/ids.js';
import {type PlainRun} from './types.js';

/**
 * Whether another attempt would find a server if the current call were ended. A model
 * server that was called is not called again, so without another one the end of a
 * silent call loses a request at which its server may be at work.
 *
 * @param run - The request.
 * @param current - Server of the call; `undefined` for another host, which chooses a server itself.
 * @returns `true` for a plain service, as its servers are called again.
 */
export function hasServerForRetry(run: Pick<PlainRun, 'route' | 'ctx' | 'tried' | 'stream'>, current: ServerId | undefined): boolean {
	if (current === undefined || run.route.pool.kind !== 'model') {
		return true;
	}

	const view = run.ctx.services.toView();
	const origin = run.stream.origin();
	const isCalled = (id: ServerId): boolean => id === current || run.tried.some(({server}) => server === id);
	const mayServe = (server: ServerEntry): boolean => server.pool === run.route.pool.name
		&& server.role !== 'prefill'
		&& !isCalled(server.id)
		&& view?.servers.get(server.id)?.leaving === false
		&& (origin === undefined || isSameOrigin(toStreamOrigin(server), origin));
	return view?.accepted?.config.servers.some(server => mayServe(server)) === true;
}
