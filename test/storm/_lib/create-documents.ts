/** The configuration edits of a storm: valid ones in order of publication, and several variants that hosts must refuse. */
import {createHash} from 'node:crypto';
import {type Fleet} from '../../_lib/start-fleet/index.js';

export type Documents = ReturnType<typeof createDocuments>;

const firstRateMegabytes = 600;

function toDigest(text: string): string {
	return createHash('sha256').update(text, 'utf8').digest('hex');
}

/** Each returns a text that every host must refuse. */
const badVariants: ReadonlyArray<(good: string, fleet: Fleet) => string> = [
	good => good.slice(0, Math.floor(good.length * 0.6)),
	good => good.slice(0, good.lastIndexOf('"end"')),
	(_good, fleet) => fleet.toConfigText({rules: [{name: 'all to nowhere', then: {pool: 'summarise', class: 'batch', repeatable: true}}]}),
	(_good, fleet) => fleet.toConfigText({rules: [{name: 'letters', when: {model: 'post-summary'}, then: 'letter'}]}),
	(_good, fleet) => fleet.toConfigText({weightStoreBytesPerSecond: 'as fast as it goes'}),
	() => '',
];

/** Creates the edits of a fleet. The document with which the fleet started has position 0. */
export function createDocuments(fleet: Fleet) {
	const good = [fleet.configText];
	const order = new Map([[toDigest(fleet.configText), 0]]);
	let badCount = 0;

	return {
		/** Publishes a complete and valid edit. */
		publishGood(): void {
			const text = fleet.toConfigText({weightStoreBytesPerSecond: `${firstRateMegabytes + good.length}MB`});
			order.set(toDigest(text), good.length);
			good.push(text);
			fleet.platform.publish('config', text);
		},
		/** Publishes an edit that hosts must refuse. */
		publishBad(variant: number): void {
			badCount += 1;
			fleet.platform.publish('config', badVariants[variant % badVariants.length]!(good.at(-1)!, fleet));
		},
		badVariantCount: badVariants.length,
		/** Position of the good edit with this digest; `undefined` when there is none. */
		toPosition: (digest: string): number | undefined => order.get(digest),
		newest: () => ({position: good.length - 1, digest: toDigest(good.at(-1)!)}),
		counts: () => ({good: good.length, bad: badCount}),
	};
}
