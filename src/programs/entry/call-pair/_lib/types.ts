import {type PlacementRefusal} from '../../../../domain/create-placement/index.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type QuarantineCause} from '../../_lib/quarantine.js';
import {type PlainEnd} from '../../send-plain/index.js';

export type PairAttempt =
	/** The request or its prefill was sent. */
	| {kind: 'called'; server: ServerEntry; ended: PlainEnd; hasRun: boolean}
	/** The request was quarantined before its next call. */
	| {kind: 'quarantined'; cause: QuarantineCause}
	/** `bounced`: every suitable decode server is full; `not-placed`: there is no suitable server. Nothing was sent. */
	| {kind: 'bounced' | 'not-placed'; refusal: PlacementRefusal};
