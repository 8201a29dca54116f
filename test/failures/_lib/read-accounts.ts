import {type Fleet} from '../../_lib/start-fleet/index.js';

const timeoutMs = 5000;

async function readAccount(url: string): Promise<unknown> {
	try {
		const res = await fetch(url, {signal: AbortSignal.timeout(timeoutMs)});
		return res.ok ? await res.json() : undefined;
	} catch {
		return undefined;
	}
}

/**
 * Reads what the hosts decided about requests, for an assertion message: a failure
 * that occurs once in many runs cannot be reproduced, so its message has to show
 * the cause.
 *
 * @param fleet - Fleet whose hosts may have served the requests.
 * @param requestIds - IDs of the requests.
 * @param isIncluded - Tells from the JSON text of an account whether to include it.
 * @returns One line for each account.
 */
export async function readAccounts(fleet: Fleet, requestIds: readonly string[], isIncluded: (account: string) => boolean = () => true): Promise<string> {
	const asked = requestIds.flatMap(id => fleet.hosts.map(host => ({id, host})));
	const accounts = await Promise.all(asked.map(async ({id, host}) => readAccount(`${host.entryOperatorUrl}/explain/${encodeURIComponent(id)}`)));
	return accounts
		.map((account, i) => ({account, host: asked[i]!.host.id}))
		.filter(({account}) => account !== undefined && isIncluded(JSON.stringify(account)))
		.map(({account, host}) => `${host}: ${JSON.stringify(account)}`)
		.join('\n');
}
