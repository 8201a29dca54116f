/** Arbitrary conditions and requests over few values, so that they often match. */
import fc from 'fast-check';
import {type RuleWhen} from '../../ports/config.js';
import {type RequestFacts} from '../compile-rules/index.js';

const few = (prefix: string) => fc.constantFrom(...['1', '2', '3', '4'].map(i => `${prefix}${i}`));
const list = (prefix: string) => fc.uniqueArray(few(prefix), {minLength: 1, maxLength: 3});
const anyClass = fc.constantFrom('quick' as const, 'batch' as const);
const path = fc.constantFrom('/', '/a', '/a/', '/a/b', '/b/', '/abc');
const headerValue = fc.constantFrom('1', '2', '*');
const headers = fc.dictionary(few('h'), headerValue, {maxKeys: 2});

/** Arbitrary conditions of a rule. */
export const anyWhen: fc.Arbitrary<RuleWhen> = fc.record({
	workspace: list('w'), model: list('m'), zone: list('z'), path, headers, class: anyClass, promptTokensAtLeast: fc.nat(3), promptTokensBelow: fc.integer({min: 1, max: 5}),
}, {requiredKeys: []});

/** Arbitrary requests. */
export const anyFacts: fc.Arbitrary<RequestFacts> = fc.record({
	workspace: few('w'), model: fc.option(few('m'), {nil: undefined}), path, headers, class: fc.option(anyClass, {nil: undefined}), promptTokens: fc.nat(5), zone: few('z'),
});
