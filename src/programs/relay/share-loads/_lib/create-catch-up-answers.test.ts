import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {encodeLoadMessage, maxDatagramBytes} from '../../../../adapters/load-datagrams/index.js';
import {createCrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type LoadMessage} from '../../../../ports/shared-loads.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';
import {createCatchUpAnswers, type AnswerContent} from './create-catch-up-answers.js';

const toMessage = (content: AnswerContent): LoadMessage => ({
	host: 'h', zone: 'z', incarnation: 1, sequence: 1, loads: [], peers: [], isAsking: false, ...content,
});

function create(suspected: number) {
	const suspects = createCrashSuspects();
	for (let n = 0; n < suspected; n++) {
		suspects.noteBroken(`beside-${n}`, 's1', 0);
	}

	for (const server of ['s1', 's2', 's3']) {
		suspects.noteBroken('ends-servers', server, 0);
	}

	return createCatchUpAnswers({suspects, partSuspects: createCrashSuspects(), toKnowledge: () => 'current'});
}

describe('createCatchUpAnswers', () => {
	it('tells all in numbered messages of one datagram each, requests with the most crashes first', () => {
		const messages = create(100)(7, toMessage, 10);
		assert.equal(messages[0]!.crashes[0]!.fingerprint, 'ends-servers');
		assert.equal(messages.flatMap(({crashes}) => crashes).length, 101);
		assert.deepEqual(messages.map(({catchUp}) => catchUp), messages.map((_, part) => ({
			kind: 'answer', id: 7, part, parts: messages.length, knowledge: 'current',
		})));
		assert.ok(messages.every(message => encodeLoadMessage(message).length <= maxDatagramBytes));
	});

	it('answers a host that knows nothing with one message', () => {
		const answer = createCatchUpAnswers({suspects: createCrashSuspects(), partSuspects: createCrashSuspects(), toKnowledge: () => 'starting'});
		assert.deepEqual(answer(1, toMessage, 0).map(({catchUp}) => catchUp), [{
			kind: 'answer', id: 1, part: 0, parts: 1, knowledge: 'starting',
		}]);
	});

	// Guards against control traffic without bound where hundreds of hosts start at the same moment.
	it('sends the first message to each, and the others within the budget', () => {
		const answer = create(2000);
		const hosts = 400;
		const answers = Array.from({length: hosts}, (_, id) => answer(id, toMessage, 10));
		assert.ok(answers.every(([first]) => first!.crashes[0]!.fingerprint === 'ends-servers'));
		assert.ok(answers.every(messages => messages.length <= 16));
		const others = answers.flatMap(messages => messages.slice(1));
		assert.ok(others.length * maxDatagramBytes <= 65 * bytesPerKibibyte, `${others.length} further messages`);
		assert.equal(answers.at(-1)!.length, 1);
	});
});
