/**
 * The simulated network of a fleet: its sites, and which links between them are
 * cut. Each process connects from its own loopback address, and a relay stands
 * before each listening port, so the source and target of every connection are known.
 */
import {
	mkdtempSync, renameSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {startLinkStandIn, type LinkStandIn} from '../../../stand-ins/link/index.js';
import {isCutBetween, type Cut, type NetworkMap} from './network-map.js';

/** A location in the network. Its names are its id, its zone and its kind, for example `servers`. */
export type Site = {
	names: readonly string[];
	/** Source address of the connections from this site. */
	localAddress: string;
};

export type Network = {
	addSite: (names: readonly string[]) => Site;
	/** Starts a relay before a listening port of a site. */
	addTarget: (site: Site, port: number) => Promise<void>;
	/** Returns the environment and Node options of a process at a site. */
	toProcessOptions: (site: Site) => {env: Record<string, string>; nodeOptions: string[]};
	/** Returns the URL of the relay before a URL, or the URL itself if no relay stands before it. */
	toUrl: (url: string) => string;
	/** Cuts all links from sites with one name to sites with another, and also back unless `isOneWay` is set. */
	cut: (from: string, to: string, options?: {isOneWay?: boolean}) => void;
	/** Cuts all links between sites with this name and sites without it. */
	isolate: (name: string) => void;
	heal: () => void;
	stop: () => Promise<void>;
};

const preload = new URL('preload.js', import.meta.url).href;

/** Creates the network of one fleet. */
export function createNetwork(): Network {
	const dir = mkdtempSync(path.join(tmpdir(), 'fleet-network-'));
	const cutsFile = path.join(dir, 'cuts.json');
	const sites = new Map<string, Site>();
	const links: LinkStandIn[] = [];
	const routes: NetworkMap['routes'] = {};
	let cuts: Cut[] = [];

	const publish = (): void => {
		writeFileSync(`${cutsFile}.new`, JSON.stringify(cuts));
		renameSync(`${cutsFile}.new`, cutsFile);
		for (const link of links) {
			link.refresh();
		}
	};

	publish();
	return {
		addSite(names) {
			const index = sites.size + 1;
			const site = {names, localAddress: `127.0.${1 + Math.floor(index / 250)}.${1 + (index % 250)}`};
			sites.set(site.localAddress, site);
			return site;
		},
		async addTarget(site, port) {
			const link = await startLinkStandIn({
				target: `127.0.0.1:${port}`,
				isCutFor(sourceAddress, direction) {
					const source = sites.get(sourceAddress)?.names ?? [];
					return direction === 'to-target' ? isCutBetween(cuts, source, site.names) : isCutBetween(cuts, site.names, source);
				},
			});
			links.push(link);
			routes[`127.0.0.1:${port}`] = {relayPort: link.port, names: site.names};
		},
		toProcessOptions(site) {
			const map: NetworkMap = {
				names: site.names, localAddress: site.localAddress, routes, cutsFile,
			};
			return {env: {FLEET_NETWORK: JSON.stringify(map)}, nodeOptions: ['--import', preload]};
		},
		toUrl(url) {
			const route = routes[new URL(url).host];
			return route === undefined ? url : `http://127.0.0.1:${route.relayPort}`;
		},
		cut(from, to, {isOneWay = false} = {}) {
			cuts = [...cuts, {from, to}, ...(isOneWay ? [] : [{from: to, to: from}])];
			publish();
		},
		isolate(name) {
			cuts = [...cuts, {from: name, to: undefined}, {from: undefined, to: name}];
			publish();
		},
		heal() {
			cuts = [];
			publish();
		},
		async stop() {
			cuts = [];
			await Promise.all(links.map(async link => link.stop()));
			rmSync(dir, {recursive: true, force: true});
		},
	};
}
