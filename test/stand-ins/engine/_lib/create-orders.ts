/** Tracks what an engine serves and applies the orders that change it. */
import {type EngineOrder, type LoadReport} from '../../../../src/ports/engine.js';
import {type Judge} from './create-judge.js';
import {refuse} from './refuse.js';
import {type EngineSettings} from './types.js';

export const createOrders = ({settings, judge, onChange}: {settings: EngineSettings; judge: Judge; onChange: () => void}) => {
	const createServed = () => ({
		role: settings.role,
		model: settings.model,
		version: settings.version,
		adapters: new Set(settings.adapters),
		state: 'serving' as LoadReport['state'],
		fence: 0,
	});
	const served = createServed();
	const timers = new Set<NodeJS.Timeout>();

	const schedule = (ms: number, change: () => void): void => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			change();
			onChange();
		}, ms);
		timers.add(timer);
	};

	const startLoading = (change: () => void): void => {
		if (served.state === 'serving') {
			served.state = 'loading';
		}

		schedule(settings.loadVersionMs, () => {
			change();
			if (served.state === 'loading') {
				served.state = 'serving';
			}
		});
	};

	const execute = (order: EngineOrder): void => {
		switch (order.kind) {
			case 'load-version': {
				if (order.version !== served.version || order.model !== served.model) {
					startLoading(() => {
						served.model = order.model;
						served.version = order.version ?? served.version;
					});
				}

				break;
			}

			case 'set-role': {
				if (order.role !== undefined && order.role !== served.role) {
					const {role} = order;
					startLoading(() => {
						served.role = role;
					});
				}

				break;
			}

			case 'load-adapter': {
				schedule(settings.loadVersionMs / 10, () => {
					served.adapters.add(order.adapter ?? '');
				});
				break;
			}

			case 'unload-adapter': {
				served.adapters.delete(order.adapter ?? '');
				break;
			}
		}
	};

	return {
		served,
		accept(order: EngineOrder): void {
			if (settings.checksFence && order.fence < served.fence) {
				judge.recordOrder(order, false);
				throw refuse('old-fence', `fence ${order.fence} is older than ${served.fence}`);
			}

			served.fence = order.fence;
			judge.recordOrder(order, true);
			execute(order);
			onChange();
		},
		/** Throws a refusal unless the engine currently accepts new work of this kind. */
		check({model, version, adapter}: {model?: unknown; version?: unknown; adapter?: unknown}, role: LoadReport['role']): void {
			if (served.state === 'leaving') {
				throw refuse('leaving', 'this server is leaving');
			}

			if (served.state === 'loading') {
				throw refuse('other', 'weights are being loaded', 1000);
			}

			if (served.role !== role) {
				throw refuse('wrong-model', `this server does ${served.role}`);
			}

			const isWrong = (model !== undefined && model !== served.model)
				|| (version !== undefined && version !== served.version)
				|| (adapter !== undefined && !served.adapters.has(adapter as string));
			if (isWrong) {
				throw refuse('wrong-model', `this server has ${served.model} ${served.version} with ${[...served.adapters].join(', ') || 'no adapter'}`);
			}
		},
		/** Restores what the engine served at its first start. */
		clear() {
			for (const timer of timers) {
				clearTimeout(timer);
			}

			timers.clear();
			Object.assign(served, createServed());
		},
	};
};
