/** Small valid configuration documents for tests. */

/**
 * Writes a small valid document.
 *
 * @param note - Text that distinguishes the document from others.
 * @param edition - Edition to write into the document; 0 for none.
 * @returns A plain YAML document.
 */
export function toYamlDocument(note = '', edition = 0): string {
	return `# ${note} čaka
zones: [{id: a, region: r}]
hosts: []
pools: [{name: p, kind: plain}]
servers: [{id: s, zone: a, url: 'http://10.0.0.1:80', role: plain, pool: p}]
rules:
  - {name: all, then: {pool: p, class: quick, repeatable: true}}
${edition > 0 ? `edition: ${edition}\n` : ''}end: banyanport
`;
}

/**
 * Writes the same document in JSON.
 *
 * @param region - Text that distinguishes the document from others.
 * @returns A plain JSON document.
 */
export function toJsonDocument(region = 'r'): string {
	return `{"zones": [{"id": "a", "region": "${region}"}], "hosts": [], "pools": [{"name": "p", "kind": "plain"}],
"servers": [{"id": "s", "zone": "a", "url": "http://10.0.0.1:80", "role": "plain", "pool": "p"}],
"rules": [{"name": "all", "then": {"pool": "p", "class": "quick", "repeatable": true}}],
"end": "banyanport"}
`;
}
