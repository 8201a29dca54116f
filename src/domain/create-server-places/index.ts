/**
 * Places at servers that report no load. Hundreds of hosts share a few such servers;
 * each host sees only its own one or two requests there, so that some servers get
 * long queues while others are idle. Here all hosts choose the same keeper for each
 * server, which counts the requests of all of them.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type PlaceAnswer, type PlaceMessage, type Place} from '../../ports/places.js';
import {type ServerEntry} from '../../ports/config.js';
import {msPerSecond} from '../../ports/units.js';
import {createPlaceKeeper} from '../create-place-keeper/index.js';
import {createQuestions} from '../create-questions/index.js';

/** Time for an answer. Without one the request is sent uncounted, so a short wait costs little. */
const answerTimeoutMs: Milliseconds = 50;

/** After these misses in a row the next host in the ranking is asked, whose counts begin anew. */
const missesToSilence = 2;
const silentForMs: Milliseconds = 3 * msPerSecond;

export type ServerPlacesOptions = {
	/** `IP:port` of this host for its peers. */
	self: string;
	/** Hosts that may keep the count of a key, this one included, best first. */
	rankKeepers: (key: string, now: Milliseconds) => readonly string[];
	/** Sends a message, which may be lost. */
	send: (message: PlaceMessage, to: string) => void;
};

export type ServerPlaces = {
	/** Asks for a place; settles once, with `undefined` if no keeper answered in time. */
	take: (server: Pick<ServerEntry, 'id' | 'slots'>, options: {isForced: boolean}, now: Milliseconds, settle: (place: Place | undefined) => void) => void;
	receive: (message: PlaceMessage, from: string, now: Milliseconds) => void;
	/** Ends the questions whose answer is overdue. */
	tick: (now: Milliseconds) => void;
	/** When the next answer is overdue; `undefined` while none is due. */
	dueAt: () => Milliseconds | undefined;
};

const toHolder = (address: string, id: number): string => `${address}/${id}`;

/**
 * Creates the places of one host.
 *
 * @param options - This host, the ranking of hosts, and how to send to them.
 * @returns See {@link ServerPlaces}; `now` is monotonic milliseconds.
 */
export function createServerPlaces({self, rankKeepers, send}: ServerPlacesOptions): ServerPlaces {
	const keeper = createPlaceKeeper();
	const questions = createQuestions<PlaceAnswer>({timeoutMs: answerTimeoutMs, missesToSilence, silentForMs});
	let ownTaken = 0;

	function takeOwn({id, slots}: Pick<ServerEntry, 'id' | 'slots'>, isForced: boolean, now: Milliseconds): Place {
		ownTaken++;
		const holder = toHolder(self, -ownTaken);
		const answer = keeper.take({
			server: id, slots, holder, isForced,
		}, now);
		return {
			...answer,
			leave() {
				keeper.leave(id, holder);
			},
		};
	}

	return {
		take(server, {isForced}, now, settle) {
			const keeperAddress = rankKeepers(server.id, now).find(address => address === self || !questions.isSilent(address, now));
			if (keeperAddress === undefined || keeperAddress === self) {
				settle(takeOwn(server, isForced, now));
				return;
			}

			const leave = (): void => {
				send({kind: 'leave', id, server: server.id}, keeperAddress);
			};

			const id: number = questions.begin(keeperAddress, answer => {
				if (answer === undefined) {
					// The answer may be late or lost, and the request counted.
					leave();
				}

				settle(answer && {...answer, leave});
			}, now);
			send({
				kind: 'ask', id, server: server.id, slots: server.slots, isForced,
			}, keeperAddress);
		},
		receive(message, from, now) {
			questions.noteHeard(from);
			switch (message.kind) {
				case 'ask': {
					const {id, server, slots, isForced} = message;
					const answer = keeper.take({
						server, slots, holder: toHolder(from, id), isForced,
					}, now);
					send({kind: 'answer', id, ...answer}, from);
					break;
				}

				case 'answer': {
					questions.answer(message.id, {isTaken: message.isTaken, count: message.count}, now);
					break;
				}

				case 'leave': {
					keeper.leave(message.server, toHolder(from, message.id));
					break;
				}
			}
		},
		tick: questions.tick,
		dueAt: questions.dueAt,
	};
}
