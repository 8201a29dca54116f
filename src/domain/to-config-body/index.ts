/**
 * Writes the body of a JSON document with one entry per line, so that hosts can read
 * it line by line, and a small change of the values is a small change of the text.
 *
 * @param values - Plain values of a document or a part; `edition`, `follows` and `end` are left out.
 * @returns The document without its end, which `addPlainEnd` or a seal appends.
 *
 * @example
 * ```ts
 * toConfigBody({hosts: [{id: 'a-1', zone: 'a'}]}); // => '{\n"hosts": [\n{"id":"a-1","zone":"a"}\n]'
 * ```
 */
export function toConfigBody(values: Readonly<Record<string, unknown>>): string {
	const {edition, follows, end, ...rest} = values;
	const sections = Object.entries(rest).map(([name, value]) => `${JSON.stringify(name)}: ${toLines(value)}`);
	return `{\n${sections.join(',\n')}`;
}

function toLines(value: unknown): string {
	if (Array.isArray(value)) {
		return `[${joinLines(value.map(entry => JSON.stringify(entry)))}]`;
	}

	return typeof value === 'object' && value !== null
		? `{${joinLines(Object.entries(value).map(([key, entry]) => `${JSON.stringify(key)}: ${JSON.stringify(entry)}`))}}`
		: JSON.stringify(value);
}

function joinLines(lines: readonly string[]): string {
	return lines.length > 0 ? `\n${lines.join(',\n')}\n` : '';
}
