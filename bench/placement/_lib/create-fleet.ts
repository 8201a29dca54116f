/** Models prefill servers with a queue, decode servers with slots, and their delayed load reports. */
import {
	toConfig, toReport, toServer, toView,
} from '../../../src/domain/create-placement/_lib/fixtures.js';
import {type ServerEntry} from '../../../src/ports/config.js';
import {type HostStatus, type ServerStatus} from '../../../src/ports/view.js';
import {type Agenda} from './create-agenda.js';
import {isSlowAt, settings, type Scenario} from './scenario.js';

export type PrefillState = {entry: ServerEntry; busyUntil: number};
export type DecodeState = {entry: ServerEntry; number: number; used: number; waiting: Array<() => boolean>; transfers: number};

export const toRouterName = (i: number): string => `host-${i}`;

export const toHost = (i: number): HostStatus => ({
	id: toRouterName(i), zone: 'a', life: 'alive', incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
});

export const createFleet = (agenda: Agenda, scenario: Scenario) => {
	const {scale = 1, slow} = scenario;
	const toCount = (count: number) => ({length: Math.round(count * scale)});
	const prefills: PrefillState[] = Array.from(toCount(settings.prefillServers), (_, i) => ({entry: toServer(`p${i}`, 'prefill'), busyUntil: 0}));
	const decodes: DecodeState[] = Array.from(toCount(settings.decodeServers), (_, i) => ({
		entry: toServer(`d${i}`, 'decode', {slots: settings.slots}), number: i, used: 0, waiting: [], transfers: 0,
	}));
	const statuses = new Map<string, ServerStatus>();
	const states = new Map<string, PrefillState | DecodeState>([...prefills, ...decodes].map(state => [state.entry.id, state]));

	const toStepMs = ({number}: DecodeState): number =>
		settings.stepMs * (isSlowAt(scenario, number, agenda.now()) ? slow?.factor ?? 1 : 1);

	const toReportedRate = (state: PrefillState | DecodeState): number =>
		'used' in state ? 1000 / (slow?.isReported ? toStepMs(state) : settings.stepMs) : settings.prefillTokensPerSecond;

	const toStatus = (state: PrefillState | DecodeState, at: number): ServerStatus => ({
		id: state.entry.id,
		leaving: false,
		reachable: true,
		loadAt: at,
		load: toReport(state.entry, {
			slotsUsed: 'used' in state ? state.used : 0,
			queuedTokens: 'used' in state ? 0 : Math.max(0, state.busyUntil - at) * settings.prefillTokensPerSecond / 1000,
			tokensPerSecond: toReportedRate(state),
			linkBytesPerSecond: settings.linkBytesPerSecond,
		}),
	});

	const report = (state: PrefillState | DecodeState): void => {
		const status = toStatus(state, agenda.now());
		agenda.after(scenario.reportLagMs, () => {
			statuses.set(state.entry.id, status);
		});
		agenda.after(scenario.reportEveryMs, () => {
			report(state);
		});
	};

	const isInstant = (state: PrefillState | DecodeState): boolean =>
		scenario.reportEveryMs === 0 || scenario.instantRoles?.includes(state.entry.role) === true;

	const instant = [...states.values()].filter(state => isInstant(state));
	for (const [i, state] of [...states.values()].entries()) {
		statuses.set(state.entry.id, toStatus(state, 0));
		if (!isInstant(state)) {
			agenda.after(i * scenario.reportEveryMs / states.size, () => {
				report(state);
			});
		}
	}

	const hosts = Array.from({length: scenario.routers}, (_, i) => toHost(i));
	const view = {...toView(toConfig([...states.values()].map(state => state.entry)), [], hosts), servers: statuses};
	return {
		prefills,
		decodes,
		toStepMs,
		toPrefill: (entry: ServerEntry) => states.get(entry.id) as PrefillState,
		toDecode: (entry: ServerEntry) => states.get(entry.id) as DecodeState,
		/** Returns the current view, which shows servers with instant reports as they are now. */
		toView() {
			for (const state of instant) {
				statuses.set(state.entry.id, toStatus(state, agenda.now()));
			}

			return view;
		},
	};
};

export type Fleet = ReturnType<typeof createFleet>;
