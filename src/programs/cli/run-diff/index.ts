/** `banyanport diff`: which requests the next document decides differently. */
import {ok} from 'neverthrow';
import {type ConfigDiff, type ChangedRequests, diffConfigs} from '../../../domain/diff-configs/index.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {reportReadFailure, readConfig} from '../_lib/read-config.js';
import {toFactsText} from '../_lib/to-facts-text.js';

export type RunDiffOptions = {
	mixtures: number;
	json: boolean;
};

/** Groups of requests in the text output; JSON lists all. */
const maxShownGroups = 20;

/**
 * Compares two documents.
 *
 * @param io - Input and output.
 * @param files - Paths of the document in force and of the next one.
 * @param options - How many requests are tried.
 * @returns 0 when both are valid, whether or not they differ; 1 when one has faults.
 */
export async function runDiff(io: CliIo, files: readonly [before: string, after: string], options: RunDiffOptions): Promise<CommandResult> {
	const configs = [];
	for (const file of files) {
		const read = await readConfig(io, file);
		if (read.isErr()) {
			return reportReadFailure(io, file, read.error, options.json);
		}

		configs.push(read.value.config);
	}

	const diff = diffConfigs(configs[0]!, configs[1]!, io.random, {mixtures: options.mixtures});
	io.write(options.json ? toJsonText(diff) : toText(diff));
	return ok(exitCodes.fine);
}

function toText({sampled, changed, requests, entries}: ConfigDiff): string {
	const more = requests.length > maxShownGroups ? [`... and ${requests.length - maxShownGroups} more kinds of change; --json lists all`] : [];
	return [
		...entries.map(({section, name, change}) => `${change} in ${section}: ${name}`),
		`${changed} of ${sampled} sample requests change their decision. The samples are made from both rule lists; their shares are not those of your traffic.`,
		...requests.slice(0, maxShownGroups).flatMap(group => toGroupLines(group)),
		...more,
		'',
	].join('\n');
}

function toGroupLines({ruleBefore, ruleAfter, changes, count, example}: ChangedRequests): readonly string[] {
	return [
		'',
		`${count} samples: rule "${ruleBefore}" before, rule "${ruleAfter}" after`,
		...changes.map(({key, before, after}) => `  ${key}: ${before} -> ${after}`),
		`  for example ${toFactsText(example)}`,
	];
}
