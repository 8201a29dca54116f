/** Compares rules that say which parts of prompts end servers. */
import {type PartKey} from '../../src/ports/ids.js';
import {type PartTrafficOptions} from '../../src/programs/relay/share-loads/_test/create-part-traffic.js';
import {
	fatal, partCourses, playCourse, smallFleet, toLate,
} from '../../src/programs/relay/share-loads/_test/part-courses.js';
import {type Host} from '../../src/programs/relay/share-loads/_test/start-hosts.js';

type Rule = PartTrafficOptions['isAdmitted'];

/** Refuses requests with a part under which so many servers ended since a server last survived it. */
const toCountRule = (minCrashes: number): Rule => ({partQuarantine: {suspects}}: Host, parts: readonly PartKey[], now) =>
	parts.every(part => suspects.crashedServers(part, now).length < minCrashes);

const rules: Readonly<Record<string, Rule>> = {
	'no rule': () => true,
	'three ends since a survival': toCountRule(3),
	'four ends since a survival': toCountRule(4),
	'five ends since a survival': toCountRule(5),
	'one decision on all ends': undefined,
};

/**
 * Runs the bench. Prints a row for each rule and course.
 *
 * @returns The printed rows.
 */
export async function runPromptPartsBench() {
	const rows: Array<Record<string, string | number>> = [];
	const noPart = {
		name: 'no fatal part, one server in ten ends each second', toFatal: () => [], crashShare: 0.1, isFatal: () => false,
	};
	const joint = {
		name: 'no fatal part, a third of the servers ends each second', toFatal: () => [], crashShare: 0.34, isFatal: () => false,
	};
	for (const course of [...partCourses, noPart, joint]) {
		for (const [rule, isAdmitted] of Object.entries(rules)) {
			const {sent, ends} = await playCourse(smallFleet, course, isAdmitted);
			const sound = sent.filter(({isFatal, parts}) => !isFatal && parts.length > 0 && !parts.includes(fatal));
			rows.push({
				course: course.name, rule, ended: ends.length, late: toLate(sent, fatal).length, refused: sound.filter(({isRefused}) => isRefused).length, sound: sound.length,
			});
		}
	}

	console.table(rows);
	return rows;
}
