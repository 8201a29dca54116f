import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AnswerMarks} from '../../ports/server-calls.js';
import {judgeAnswerOwner, type CallIdentity} from './index.js';

const kinds = ['success', 'refusal', 'misdirected', 'failure'] as const;
const toMarks = (name: string | undefined): fc.Arbitrary<AnswerMarks> => fc.record({name: fc.constant(name), kind: fc.constantFrom(...kinds), isSealed: fc.boolean()});
const runs = fc.record({kind: fc.constant('run' as const), name: fc.constant('own'), isShared: fc.boolean()});
const named = fc.oneof(runs, fc.constant({kind: 'named' as const, name: 'own'}));
const isOwn = (call: CallIdentity, marks: AnswerMarks): boolean => judgeAnswerOwner(call, marks).kind === 'own';

describe('judgeAnswerOwner', () => {
	it('gives no request an answer that names another one', () => {
		fc.assert(fc.property(named, toMarks('another'), (call, marks) => !isOwn(call, marks)));
	});

	it('gives a request no success and no failure that names none', () => {
		fc.assert(fc.property(named, toMarks(undefined), (call, marks) => marks.kind === 'refusal' || marks.kind === 'misdirected' || !isOwn(call, marks)));
	});

	it('gives a run a refusal that names none only where no control call may have got it before', () => {
		fc.assert(fc.property(runs, fc.boolean(), (call, isSealed) => isOwn(call, {kind: 'refusal', name: undefined, isSealed}) === !call.isShared));
	});

	it('lets no connection be used after a refusal that names none', () => {
		fc.assert(fc.property(named, toMarks(undefined), (call, marks) => {
			const owner = judgeAnswerOwner(call, marks);
			return owner.kind === 'foreign' || !owner.isReusable;
		}));
	});

	it('gives a run no success without a seal', () => {
		fc.assert(fc.property(runs, toMarks('own'), (call, marks) => isOwn(call, marks) === (marks.kind !== 'success' || marks.isSealed)));
	});

	it('gives another call each answer that names it, sealed or not', () => {
		fc.assert(fc.property(toMarks('own'), marks => isOwn({kind: 'named', name: 'own'}, marks)));
	});

	it('gives a control call each answer that names no request, and no other', () => {
		fc.assert(fc.property(fc.option(fc.string(), {nil: undefined}).chain(toMarks), marks => isOwn({kind: 'control'}, marks) === (marks.name === undefined)));
	});

	it('counts answers that can show nothing as the call\'s own', () => {
		assert.deepEqual(judgeAnswerOwner({kind: 'run', name: 'own', isShared: true}, undefined), {kind: 'own', isReusable: true});
	});
});
