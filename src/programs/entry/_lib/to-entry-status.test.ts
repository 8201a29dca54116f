import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type FleetView} from '../../../ports/view.js';
import {findNotReady} from './to-entry-status.js';

const served = {accepted: {}} as unknown as FleetView;
const ready = {isStopping: false, isCutOff: false, areClaimsSettled: true};

describe('findNotReady', () => {
	const rows: ReadonlyArray<[when: string, view: FleetView | undefined, change: Partial<typeof ready>, reason: RegExp | undefined]> = [
		['is ready with a configuration and its claims fetched', served, {}, undefined],
		['waits for a view', undefined, {}, /no configuration/],
		['waits for a configuration', {} as unknown as FleetView, {}, /no configuration/],
		['waits for the claims of the previous process', served, {areClaimsSettled: false}, /claims/],
		['is not ready while it is cut off', served, {isCutOff: true}, /reaches no server/],
		['is not ready while it stops, whatever the other states', undefined, {isStopping: true, areClaimsSettled: false}, /stopping/],
	];
	for (const [when, view, change, reason] of rows) {
		it(when, () => {
			const [first, ...others] = findNotReady(view, {...ready, ...change});
			assert.deepEqual(others, []);
			assert.ok(reason === undefined ? first === undefined : reason.test(first?.reason ?? ''), first?.reason);
		});
	}
});
