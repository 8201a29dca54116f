/** Measures the cost of a changed document for a host that has read the previous one. */
import {Buffer} from 'node:buffer';
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';
import {compileRules} from '../../src/domain/compile-rules/index.js';
import {createConfigReader, parseConfig} from '../../src/domain/parse-config/index.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {type Config} from '../../src/ports/config.js';

const sizes = [[1000, 1600], [5000, 8000], [11_000, 18_000]] as const;
const rounds = 40;

function toMedian(times: readonly number[]): string {
	return times.toSorted((a, b) => a - b)[Math.floor(times.length / 2)]!.toFixed(1);
}

function measure(run: () => unknown): number {
	const startedAt = performance.now();
	run();
	return performance.now() - startedAt;
}

/** Returns the edited document as a separate string that, as on a host, shares no memory with the previous one. */
function toEdited(config: Config, round: number): string {
	const at = (round * 997) % (config.rules.length - 1);
	const rules = config.rules.with(at, {...config.rules[at]!, name: `edit ${round}`});
	return Buffer.from(toConfigText({...config, rules})).toString();
}

function measureSize(rules: number, workspaces: number) {
	const config = toFleetConfig(rules, workspaces);
	const read = createConfigReader();
	const compiled = compileRules(read(toConfigText(config))._unsafeUnwrap());
	const times: Record<'whole' | 'byLines' | 'compile' | 'compileAgain' | 'compileChanged', number[]> = {
		whole: [], byLines: [], compile: [], compileAgain: [], compileChanged: [],
	};
	for (let round = 1; round <= rounds; round++) {
		const text = toEdited(config, round);
		let next: Config | undefined;
		times.byLines.push(measure(() => {
			next = read(text)._unsafeUnwrap();
		}));
		times.compileAgain.push(measure(() => compileRules(next!, compiled)));
		const at = (round * 997) % (next!.rules.length - 1);
		const changed = next!.rules.with(at, {...next!.rules[at]!, when: {path: `/round-${round}/`}});
		times.compileChanged.push(measure(() => compileRules({rules: changed}, compiled)));
		times.whole.push(measure(() => parseConfig(text)));
		times.compile.push(measure(() => compileRules(next!)));
	}

	const medians = Object.fromEntries(Object.entries(times).map(([name, list]) => [name, toMedian(list)]));
	return {rules, bytes: toConfigText(config).length, ...medians};
}

/** Runs the bench. Prints a table of medians in milliseconds, then the rows as JSON. */
export function runConfigReadingBench(): void {
	const rows = sizes.map(([rules, workspaces]) => measureSize(rules, workspaces));
	console.table(rows);
	console.log(JSON.stringify({bench: 'config-reading', rounds, rows}));
}
