/** Measures the cost to an agent of reading a full-size document that changes every 5.4 s. */
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';
import {toPartDocument} from '../../src/domain/_test/to-part-document.js';
import {readPlainValues} from '../../src/domain/parse-config/index.js';
import {toPartKey} from '../../src/domain/to-part-key/index.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {type Config, type ServerEntry} from '../../src/ports/config.js';
import {measureChanges, type ChangesRow, type Publisher} from './measure-changes.js';

const workspaces = 18_000;
const rules = 11_000;
const partCounts = [60];

/** Renames one rule in each round, like a line edited by an operator. */
function toEdited(config: Config, round: number): Config {
	const at = (round * 997) % (config.rules.length - 1);
	return {...config, rules: config.rules.with(at, {...config.rules[at]!, name: `edit ${round}`})};
}

function toWholePublisher(servers: readonly ServerEntry[]): Publisher {
	const config = {...toFleetConfig(rules, workspaces), servers};
	return {
		name: 'one file',
		publish(platform, round) {
			const text = toConfigText(toEdited(config, round));
			platform.publish('config', text);
			return text.length;
		},
	};
}

/** Creates a publisher of the same document in parts of equal length; an edit publishes one part and the root. */
export function toPartsPublisher(servers: readonly ServerEntry[], count: number): Publisher {
	const config = {...toFleetConfig(rules, workspaces), servers};
	const cuts = Array.from({length: count}, (_, i) => Math.floor(rules * (i + 1) / (count + 1)));
	return {
		name: `${count} parts`,
		publish(platform, round) {
			const values = readPlainValues(toConfigText(toEdited(config, round)))!;
			const {root, parts} = toPartDocument(values, {hosts: [], servers: [], rules: cuts});
			const known = platform.judge().revisions;
			const fresh = parts.filter(part => !(toPartKey(part) in known));
			for (const part of fresh) {
				platform.publish(toPartKey(part), part.text);
			}

			platform.publish('config', root);
			return fresh.reduce((sum, {bytes}) => sum + bytes, root.length);
		},
	};
}

/** Runs the bench. Prints a table, then the rows as JSON. */
export async function runConfigChangesBench(): Promise<void> {
	const rows: ChangesRow[] = [];
	const publishers = [toWholePublisher, ...partCounts.map(count => (servers: readonly ServerEntry[]) => toPartsPublisher(servers, count))];
	for (const toPublisher of publishers) {
		rows.push(await measureChanges(toPublisher));
	}

	console.table(rows);
	console.log(JSON.stringify({bench: 'config-changes', rows}));
}
