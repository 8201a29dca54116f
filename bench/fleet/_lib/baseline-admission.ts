/**
 * Baseline without admission control: every request starts at once. A request that
 * found all servers full is retried on each tick until its first-token deadline.
 */
import {type Admission, type AdmissionRequest} from '../../../src/domain/create-admission/index.js';

const retryAfterMs = 1000;

export function createAdmission(): Admission {
	const bounced = new Set<string>();
	const waiting = new Map<string, AdmissionRequest>();

	const forget = (id: string): readonly string[] => {
		bounced.delete(id);
		waiting.delete(id);
		return [];
	};

	return {
		offer(request) {
			if (!bounced.has(request.id)) {
				return {kind: 'admitted'};
			}

			waiting.set(request.id, request);
			return {kind: 'queued', position: waiting.size - 1};
		},
		noteFirstToken() {/* Makes no predictions. */},
		finish(id, _now, {outcome}) {
			if (outcome === 'bounced') {
				bounced.add(id);
				return [];
			}

			return forget(id);
		},
		cancel: id => forget(id),
		tick(now) {
			const due = [...waiting.values()];
			waiting.clear();
			const isLate = ({deadline, firstTokenDeadline}: AdmissionRequest): boolean => Math.min(deadline, firstTokenDeadline) <= now;
			const late = due.filter(request => isLate(request));
			for (const {id} of late) {
				bounced.delete(id);
			}

			return {
				admitted: due.filter(request => !isLate(request)).map(({id}) => id),
				refused: late.map(({id}) => ({id, reason: 'too-late' as const, retryAfterMs})),
			};
		},
		setCapacity: () => [],
		keepPools() {/* Has no state by pool. */},
		meanHoldMs: () => undefined,
		status: () => [],
	};
}
