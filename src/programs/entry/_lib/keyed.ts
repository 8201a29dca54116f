import {type RequestId} from '../../../ports/ids.js';
import {type Account} from '../accounts/index.js';
import {type ServeKeyedOptions} from '../claims/index.js';
import {type ServeServices} from './serve-types.js';

/**
 * Options of a keyed request.
 *
 * @param requestId - Id of the call.
 * @param account - Account of the call, which may join another's run.
 * @param serve - The program.
 * @param work - Does the work for whoever reads the answer.
 * @returns What the claims need.
 */
export function toKeyedOptions(requestId: RequestId, account: Account, serve: ServeServices, work: ServeKeyedOptions['serve']): ServeKeyedOptions {
	return {
		writeTimeoutMs: serve.limits.writeTimeoutMs,
		now: serve.services.clock.now,
		serve: work,
		onJoin(host) {
			account.note('joined', {host});
			serve.log.info('request joined', {requestId, peer: host});
		},
		onRefused({kind, outcome}) {
			account.note('refused', {kind, outcome});
			serve.log.info('request refused', {requestId, reason: kind, outcome});
		},
	};
}
