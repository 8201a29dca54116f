/** The network of a test fleet as one of its processes sees it. `preload.ts` loads this module before the program, so it imports nothing. */

/** Drops the bytes from sites with the name `from` to sites with the name `to`. `undefined` stands for every site without the other name. */
export type Cut = {from: string | undefined; to: string | undefined};

export type NetworkMap = {
	names: readonly string[];
	localAddress: string;
	/** Relays by `IP:port` of the real target. */
	routes: Record<string, {relayPort: number; names: readonly string[]}>;
	cutsFile: string;
};

function isEnd(name: string | undefined, other: string | undefined, names: readonly string[]): boolean {
	return name === undefined ? !names.includes(other ?? '') : names.includes(name);
}

/** Checks whether bytes from one site to another are dropped. */
export function isCutBetween(cuts: readonly Cut[], source: readonly string[], target: readonly string[]): boolean {
	return cuts.some(({from, to}) => isEnd(from, to, source) && isEnd(to, from, target));
}
