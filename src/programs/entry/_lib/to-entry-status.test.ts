import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type FleetView} from '../../../ports/view.js';
import {findNotReady} from './to-entry-status.js';

const served = {accepted: {}} as unknown as FleetView;
const ready = {isStopping: false, isCutOff: false, areClaimsSettled: true};

describe('findNotReady', () => {
	const rows: ReadonlyArray<[when: string, view: FleetView | undefined, change: Partial<typeof ready>, reason: RegExp | undefined]> = [
		['takes requests with a configuration and its claims sought', served, {}, undefined],
		['waits for a view', undefined, {}, /no configuration/],
		['waits for a configuration', {} as unknown as FleetView, {}, /no configuration/],
		['waits for the claims of the process before it', served, {areClaimsSettled: false}, /claims/],
		['leaves its callers to others while it is cut off', served, {isCutOff: true}, /reaches no server/],
		['takes none while it stops, whatever else', undefined, {isStopping: true, areClaimsSettled: false}, /stopping/],
	];
	for (const [when, view, change, reason] of rows) {
		it(when, () => {
			const [first, ...others] = findNotReady(view, {...ready, ...change});
			assert.deepEqual(others, []);
			assert.ok(reason === undefined ? first === undefined : reason.test(first?.reason ?? ''), first?.reason);
		});
	}
});
