/** Creates a router that chooses pairs of servers by the given strategy and passes what it observes to `createPlacement` if the strategy uses it. */
import {createPlacement, type Placement, type ServerFailure} from '../../../src/domain/create-placement/index.js';
import {toPlacementRequest} from '../../../src/domain/create-placement/_lib/fixtures.js';
import {type ServerEntry} from '../../../src/ports/config.js';
import {type Agenda} from './create-agenda.js';
import {type Fleet} from './create-fleet.js';
import {settings, type Strategy} from './scenario.js';

/** One request: its time of arrival and the lengths of its prompt and answer. */
export type Job = {arrivedAt: number; promptTokens: number; answerTokens: number};

export type Choice = {prefill: ServerEntry; decode: ServerEntry; placement: Placement | undefined};

export type RouterOptions = {
	fleet: Fleet;
	agenda: Agenda;
	strategy: Strategy;
	name: string;
	random: () => number;
};

export const createRouter = ({fleet, agenda, strategy, name, random}: RouterOptions) => {
	const isBlind = strategy === 'round-robin' || strategy === 'least-lagged' || strategy === 'two-lagged' || strategy === 'reserve-lagged';
	const placement = createPlacement({
		zone: 'a',
		...(strategy === 'reserve' && {host: name}),
		draws: strategy === 'reserve-all' ? Infinity : 2,
		kvBytesPerToken: settings.kvBytesPerToken,
	});
	const turns = {prefill: Math.floor(random() * 1000), decode: Math.floor(random() * 1000), plain: 0};

	const toLoad = (entry: ServerEntry): number => {
		const load = fleet.toView().servers.get(entry.id)?.load;
		return entry.role === 'decode' ? load?.slotsUsed ?? 0 : load?.queuedTokens ?? 0;
	};

	const chooseBlind = (states: ReadonlyArray<{entry: ServerEntry}>, exclude: ReadonlySet<string>): ServerEntry | undefined => {
		const entries = states.map(state => state.entry).filter(entry => !exclude.has(entry.id));
		if (strategy === 'round-robin') {
			const role = entries[0]?.role ?? 'plain';
			turns[role]++;
			return entries[turns[role] % entries.length];
		}

		const drawn = strategy === 'least-lagged' ? entries : [1, 2].map(() => entries[Math.floor(random() * entries.length)]!);
		const least = Math.min(...drawn.map(entry => toLoad(entry)));
		const ties = drawn.filter(entry => toLoad(entry) === least);
		return ties[Math.floor(random() * ties.length)];
	};

	return {
		choose({promptTokens, answerTokens}: Job, budgetMs: number, exclude: ReadonlySet<string>): Choice | undefined {
			if (isBlind) {
				const prefill = chooseBlind(fleet.prefills, new Set());
				const decode = chooseBlind(fleet.decodes, exclude);
				return prefill && decode && {prefill, decode, placement: undefined};
			}

			const request = toPlacementRequest({
				promptTokens, maxTokens: answerTokens, firstTokenBudgetMs: budgetMs, perTokenTargetMs: settings.perTokenTargetMs, exclude,
			});
			const picked = placement.pick(request, fleet.toView(), agenda.now(), random);
			if (picked.isErr()) {
				return undefined;
			}

			placement.noteDispatched(picked.value, agenda.now());
			return {...picked.value, placement: picked.value};
		},
		noteReserved(choice: Choice): void {
			if (choice.placement) {
				placement.noteReserved(choice.placement, choice.placement.promptTokens + choice.placement.maxTokens, agenda.now());
			}
		},
		notePrefilled(choice: Choice, promptTokens: number): void {
			if (choice.placement) {
				placement.notePrefilled(choice.placement, {promptTokens, cachedTokens: 0, bytes: promptTokens * settings.kvBytesPerToken}, agenda.now());
			}
		},
		noteFirstToken(choice: Choice): void {
			if (choice.placement) {
				placement.noteFirstToken(choice.placement, agenda.now());
			}
		},
		noteTokens(choice: Choice, tokens: number, tookMs: number): void {
			if (choice.placement) {
				placement.noteTokens(choice.placement, {tokens, tookMs}, agenda.now());
			}
		},
		noteEnd(choice: Choice, failure?: ServerFailure): void {
			if (failure) {
				placement.noteFailure(choice.decode, failure, agenda.now());
			}

			if (choice.placement) {
				placement.noteFinished(choice.placement, agenda.now());
			}
		},
	};
};

export type Router = ReturnType<typeof createRouter>;
