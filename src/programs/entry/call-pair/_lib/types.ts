import {type PlacementRefusal} from '../../../../domain/create-placement/index.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type PlainEnd} from '../../send-plain/index.js';

export type PairAttempt =
	/** The request, or its prompt, was sent. */
	| {kind: 'called'; server: ServerEntry; ended: PlainEnd; hasRun: boolean}
	/** `bounced`: every decode server that would do is full; `not-placed`: there is none. Nothing was sent. */
	| {kind: 'bounced' | 'not-placed'; refusal: PlacementRefusal};
