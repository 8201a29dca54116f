/*
 * Guards against a bad edit of the configuration that takes effect, or that fails
 * without a message. Operators publish an edition that the platform first serves
 * truncated or not at all, that is invalid, or that lacks a part. Each host
 * validates the whole document before it accepts it, so it keeps the edition in
 * force and reports the fault; once the edition is complete, all hosts use it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toPartKey} from '../../src/domain/to-part-key/index.js';
import {type ConfigPart} from '../../src/ports/config.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, near, readMetric, readStatus, useConfigFleet,
} from './_lib/start-config-fleet.js';

describe('a configuration in force', () => {
	const config = useConfigFleet();

	const firstServed = [
		{name: 'a truncated copy of it', toFaults: () => ({truncateAt: 0.7}), isRefused: true},
		{name: 'the previous document in its place', toFaults: () => ({oldDocument: config().current().revision}), isRefused: false},
	];
	for (const {name, toFaults, isRefused} of firstServed) {
		it(`is replaced by the next edition although the platform first served ${name}`, async t => {
			const {newer: good} = await config().putInForce();
			config().fleet.platform.setFaults(toFaults());
			const newer = config().publishNext();
			if (isRefused) {
				await config().waitUntilRefused(config().fleet.hosts, newer.revision);
			} else {
				await waitUntil(async () => {
					const revisions = await Promise.all(config().fleet.hosts.map(async host => readMetric(host, 'config_revision')));
					return revisions.every(revision => revision === newer.revision);
				}, {deadlineMs, what: 'all hosts to read the previous document under the later revision'});
			}

			await config().waitUntilSeen(good);
			config().fleet.platform.setFaults({});
			const healedAt = performance.now();
			await config().waitUntilSeen(newer);
			t.diagnostic(`in force everywhere ${Math.round(performance.now() - healedAt)} ms after the platform served it`);
		});
	}

	const badEdits = [
		{name: 'names a pool that does not exist', toText: () => config().toNextPlain({edition: 1_000_000, rules: [{name: 'lost', then: {pool: 'nowhere', class: 'quick', repeatable: true}}]})},
		{name: 'was changed after it was sealed', toText: () => config().toSealed(config().current().text).text.replace('dvorana-a-1', 'dvorana-a-9')},
		{name: 'lacks its end', toText: () => config().toSealed(config().current().text).text.slice(0, -200)},
	];
	for (const {name, toText} of badEdits) {
		it(`stays in force when the next edition ${name}, and every host logs the refusal once`, async () => {
			const text = toText();
			// Operators publish a valid edition and then, by mistake, the bad one again.
			for (const turn of ['first', 'again']) {
				const {newer: good} = await config().putInForce();
				const revision = config().fleet.platform.publish('config', text);
				await config().waitUntilRefused(config().fleet.hosts, revision);
				for (const host of config().fleet.hosts) {
					const refusals = host.agent().logs().filter(line => line.message === 'configuration refused' && line.revision === revision);
					assert.equal(refusals.length, 1, `${host.id} logged ${refusals.length} refusals, ${turn}`);
				}

				await config().waitUntilSeen(good);
			}
		});
	}

	const halfEdits: Array<{name: string; toServed: (part: ConfigPart, other: ConfigPart) => string | undefined}> = [
		{name: 'is missing', toServed: () => undefined},
		{name: 'is truncated', toServed: ({text}) => text.slice(0, -20)},
		{name: 'has the content of another part', toServed: (_, {text}) => text},
	];
	for (const {name, toServed} of halfEdits) {
		it(`stays in force while a part of the next edition ${name}, which every host reports, and is replaced once the part is there`, async t => {
			const {newer: good} = await config().putInForce();
			const {parts, ...next} = config().toSealedParts(config().current().text);
			const latePart = parts.find(part => part.name === 'rules-001')!;
			const otherParts = parts.filter(part => part !== latePart);
			const served = toServed(latePart, otherParts[0]!);
			config().publishParts(otherParts);
			if (served !== undefined) {
				config().fleet.platform.publish(toPartKey(latePart), served);
			}

			const {revision} = config().publish(next);
			await config().waitUntilRefused(config().fleet.hosts, revision);
			for (const host of config().fleet.hosts) {
				const {refused} = await readStatus(host);
				assert.equal(refused?.kind, 'parts-missing');
				assert.ok(refused.reason.includes(`${latePart.name} under ${toPartKey(latePart)}`), refused.reason);
			}

			// A replaced host gets the edition in force from its peers or the platform.
			await config().restart(config().fleet.hosts.slice(0, 1));
			await config().waitUntilSeen(good);
			config().publishParts([latePart]);
			config().setCurrent({...next, revision, at: performance.now()});
			const spread = await config().waitUntilSeen(config().current());
			t.diagnostic(`in force everywhere ${Math.max(...spread)} ms after the part was published`);
		});
	}

	it('stays in force and reaches replaced hosts although the platform has lost one of its parts', async () => {
		await config().putInForce();
		const {parts, ...next} = config().toSealedParts(config().current().text);
		config().publishParts(parts);
		config().setCurrent(config().publish(next));
		await config().waitUntilSeen(config().current());
		config().fleet.platform.publish(toPartKey(parts.find(part => part.name === 'rules-001')!), 'lost');
		await config().restart(config().ofZone(near));
		await config().waitUntilAnswered(config().ofZone(near), next, 'the replaced hosts to answer by the edition from their peers');
		await config().waitUntilSeen(config().current());
	});

	it('came in force on all hosts after each change', t => {
		const sorted = config().spreadMs().toSorted((a, b) => a - b);
		t.diagnostic(`${sorted.length} spreads to one host: median ${sorted[Math.floor(sorted.length / 2)]} ms, longest ${sorted.at(-1)} ms`);
		assert.ok(sorted.length > 0);
	});
});
