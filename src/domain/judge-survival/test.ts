import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {judgeSurvival, type ServerLife, type Survival} from './index.js';

const run = {startedAt: 1000, overAt: 2000};
const never = -Infinity;
const survived: Survival = {kind: 'survived'};
const unknown: Survival = {kind: 'unknown'};

describe('judgeSurvival', () => {
	const cases: ReadonlyArray<{what: string; server: ServerLife; survival: Survival}> = [
		{what: 'nothing is known', server: {answeredAt: never}, survival: unknown},
		{what: 'it answered a call that began after the run', server: {answeredAt: 2001}, survival: survived},
		{what: 'it answered a call that began as the run was over', server: {answeredAt: 2000}, survival: unknown},
		{what: 'it answered a call that began before the run', server: {answeredAt: 900}, survival: unknown},
		{what: 'it ended during the run', server: {answeredAt: never, ended: {from: 1400, to: 1500}}, survival: {kind: 'crashed', at: 1500}},
		{what: 'it answered a call and ended then, both during the run', server: {answeredAt: 1300, ended: {from: 1400, to: 1500}}, survival: {kind: 'crashed', at: 1500}},
		{what: 'it answered a call that began after its assumed end', server: {answeredAt: 1600, ended: {from: 1400, to: 1500}}, survival: unknown},
		{what: 'it ended at some time during the run or after it', server: {answeredAt: 1300, ended: {from: 500, to: 5000}}, survival: {kind: 'crashed', at: 2000}},
		{what: 'it ended after the run', server: {answeredAt: never, ended: {from: 2001, to: 5000}}, survival: unknown},
		{what: 'it ended before the run', server: {answeredAt: never, ended: {from: 500, to: 999}}, survival: unknown},
		{what: 'it ended after a call that it answered after the run', server: {answeredAt: 2500, ended: {from: 500, to: 5000}}, survival: survived},
	];
	for (const {what, server, survival} of cases) {
		it(`judges a server of which ${what}`, () => {
			assert.deepEqual(judgeSurvival(run, server), survival);
		});
	}
});
