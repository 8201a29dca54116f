/** What a process of a test fleet knows of its network; read by the preload, so it needs nothing else. */

/** Bytes from sites of one name to sites of another are lost; `undefined` means every site without the other name. */
export type Cut = {from: string | undefined; to: string | undefined};

export type NetworkMap = {
	names: readonly string[];
	localAddress: string;
	/** By `IP:port` of the true target. */
	routes: Record<string, {relayPort: number; names: readonly string[]}>;
	cutsFile: string;
};

function isEnd(name: string | undefined, other: string | undefined, names: readonly string[]): boolean {
	return name === undefined ? !names.includes(other ?? '') : names.includes(name);
}

/** Says whether bytes from one site to another are lost. */
export function isCutBetween(cuts: readonly Cut[], source: readonly string[], target: readonly string[]): boolean {
	return cuts.some(({from, to}) => isEnd(from, to, source) && isEnd(to, from, target));
}
