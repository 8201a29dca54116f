/** Arbitrary line edits of a document made with `toFleetConfig`. */
import fc from 'fast-check';

/** Lines that an edit may insert: valid ones, rules that shadow others, invalid entries, and lines that break the syntax of the document. */
export const strayLines = [
	'{"name":"new","when":{"workspace":["ws-00001"]},"then":"route-1"},',
	'{"name":"new","when":{"workspace":["ws-00001","ws-00002"],"class":"quick"},"then":"route-2"},',
	'{"name":"all quick","when":{"class":"quick"},"then":"route-1"},',
	'{"name":"all","when":{},"then":"route-1"},',
	'{"name":"a","when":{"model":["m"]},"then":"route-1"},{"name":"b","when":{"zone":["a"]},"then":"route-2"},',
	'{"name":"lost","when":{"zone":["b"]},"then":"route-9"},',
	'{"name":"twice","name":"twice","when":{"path":"/x"},"then":"route-1"},',
	'{"name":"[[[[","when":{"headers":{"x":"{{{"}},"then":"route-1"},',
	`{"name":"${'['.repeat(70)}","when":{"path":"/z"},"then":"route-1"},`,
	'{"name":"halved","when":{"path":"/y"},',
	'"then":"route-1"},',
	'{"id":"a-2","zone":"a"},',
	'{"id":"k","zone":"a","url":"http://10.0.0.9:80","role":"decode","pool":"summaries"},',
	'{"id":"k","zone":"a","url":"http://10.0.0.1:80","role":"plain","pool":"summaries"},',
	'"rules": [',
	'],',
	'"hosts": [],',
	'"zones": [{"id":"b","region":"r"}],',
	'"end": "banyanport"}',
	'"edition": 3,',
	'',
	' ',
	'{}',
	'{},',
	`{"name":"deep","when":${'['.repeat(70)}},`,
];

/** Arbitrary edits of a text with `count` lines. */
export const anyEdits = (count: number) => fc.array(fc.oneof(
	fc.record({kind: fc.constant('insert' as const), at: fc.nat(count), line: fc.constantFrom(...strayLines)}),
	fc.record({kind: fc.constant('delete' as const), at: fc.nat(count - 1)}),
	fc.record({kind: fc.constant('move' as const), at: fc.nat(count - 1), to: fc.nat(count - 1)}),
	fc.record({
		kind: fc.constant('replace' as const),
		at: fc.nat(count - 1),
		from: fc.constantFrom('ws-', '"quick"', 'route-1', 'route-2', '1000', '},', '"name"', 'summaries', '"a"', '61ms'),
		to: fc.constantFrom('ws-1', '"batch"', 'route-2', 'route-1', '2000', '}', '"nam"', 'desk', '"b"', '62ms', ''),
	}),
), {minLength: 1, maxLength: 4});

export type Edit = ReturnType<typeof anyEdits> extends fc.Arbitrary<Array<infer T>> ? T : never;

/** Applies the edits in order. */
export function applyEdits(text: string, list: readonly Edit[]): string {
	const lines = text.split('\n');
	for (const edit of list) {
		switch (edit.kind) {
			case 'insert': {
				lines.splice(edit.at, 0, edit.line);
				break;
			}

			case 'delete': {
				lines.splice(edit.at, 1);
				break;
			}

			case 'move': {
				lines.splice(edit.to, 0, ...lines.splice(edit.at, 1));
				break;
			}

			case 'replace': {
				lines[edit.at] = (lines[edit.at] ?? '').replaceAll(edit.from, edit.to);
				break;
			}
		}
	}

	return lines.join('\n');
}
