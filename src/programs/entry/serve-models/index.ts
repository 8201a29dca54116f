import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {identifyCaller} from '../../../domain/identify-caller/index.js';
import {type FleetView} from '../../../ports/view.js';
import {noConfiguration} from '../_lib/problems.js';

/**
 * Answers `GET /v1/models` from the configuration in force.
 *
 * @param exchange - The caller's request.
 * @param view - The fleet as this host knows it.
 */
export function serveModels(exchange: CallerExchange, view: FleetView | undefined): void {
	const config = view?.accepted?.config;
	if (config === undefined) {
		exchange.sendProblem(noConfiguration);
		return;
	}

	const caller = identifyCaller(exchange.headers, config);
	if (caller.isErr()) {
		exchange.sendProblem({kind: 'unauthorized', detail: caller.error.detail, outcome: 'not-run'});
		return;
	}

	const models = new Set(config.pools.map(pool => pool.kind === 'model' ? pool.model : undefined).filter(model => model !== undefined));
	const data = [...models].sort().map(id => ({
		id, object: 'model', created: 0, owned_by: 'banyanport',
	}));
	exchange.sendAnswer(200, {'content-type': 'application/json'}, JSON.stringify({object: 'list', data}));
}
