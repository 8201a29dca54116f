/** Starts the fleet of the demo: each program runs in its own process and listens on a free port of the loopback interface. */
import {request} from 'undici';
import {startProgram, type Program} from '../../_lib/start-program/index.js';
import {toDemoConfig, type DemoServer} from './to-demo-config.js';

const zones = ['dvorana-a', 'dvorana-b'] as const;
const model = 'letter-summary';
const version = '2026-10';

export type DemoHost = {
	zone: string;
	agent: Program;
	entry: Program;
	callerUrl: string;
};

export type DemoFleet = {
	hosts: readonly DemoHost[];
	/** Stops entries, then agents, then the stand-ins; returns labels of programs that did not exit with 0. */
	stop: () => Promise<string[]>;
};

async function startEngine(zone: string, role: 'prefill' | 'decode'): Promise<{program: Program; server: DemoServer}> {
	const id = `${role}-${zone}`;
	const program = await startProgram({
		program: 'engine', label: id, flags: {
			id, role, model, versionOfWeights: version, port: 0,
		},
	});
	const server = {
		id, zone, role, pool: 'summaries', url: String(program.listening.url),
	} as const;
	return {program, server};
}

async function startDesk(zone: string): Promise<{program: Program; server: DemoServer}> {
	const id = `desk-${zone}`;
	const program = await startProgram({program: 'plain', label: id, flags: {id, port: 0}});
	const server = {
		id, zone, role: 'plain', pool: 'front-desk', url: String(program.listening.url),
	} as const;
	return {program, server};
}

async function publish(platformUrl: string, key: 'config' | 'fleet', text: string): Promise<void> {
	const res = await request(`${platformUrl}/judge/values/${key}`, {method: 'POST', body: text});
	await res.body.dump();
}

async function startHost(zone: string, platformUrl: string, seeds: readonly string[]): Promise<DemoHost> {
	const flags = {
		hostId: `${zone}-1`, zone, peerPort: 0, operatorPort: 0,
	};
	const agent = await startProgram({program: 'agent', label: `agent of ${zone}-1`, flags: {...flags, platformUrl, seeds: seeds.length > 0 ? seeds : undefined}});
	const entry = await startProgram({
		program: 'entry',
		label: `entry of ${zone}-1`,
		// All processes share the clock of this machine, so with a clock bound of 0 hosts vouch for keys from the start.
		flags: {
			...flags, callerPort: 0, agentAddress: `127.0.0.1:${agent.port('peerPort')}`, clockBound: '0ms', drainDelay: '0ms',
		},
	});
	await entry.waitForLog(line => line.message === 'configuration in force', {deadlineMs: 20_000, what: `the configuration at ${zone}-1`});
	return {
		zone, agent, entry, callerUrl: `http://127.0.0.1:${entry.port('callerPort')}`,
	};
}

/**
 * Starts platform, engines, plain services, and one host in each of two zones.
 *
 * @returns The fleet, with the configuration in force on every host.
 */
export async function startDemoFleet(): Promise<DemoFleet> {
	const platform = await startProgram({program: 'platform', flags: {port: 0}});
	const platformUrl = String(platform.listening.url);
	const backends = await Promise.all(zones.flatMap(zone => [startEngine(zone, 'prefill'), startEngine(zone, 'decode'), startDesk(zone)]));
	const servers = backends.map(backend => backend.server);
	await publish(platformUrl, 'config', toDemoConfig({
		zones, servers, model, version,
	}));
	await publish(platformUrl, 'fleet', JSON.stringify({
		hosts: zones.map(zone => ({id: `${zone}-1`, state: 'live', peerAddress: ''})),
		servers: servers.map(server => ({id: server.id, state: 'live'})),
	}));

	const hosts: DemoHost[] = [];
	for (const zone of zones) {
		const seeds = hosts.map(host => `127.0.0.1:${host.agent.port('peerPort')}`);
		hosts.push(await startHost(zone, platformUrl, seeds));
	}

	const inStopOrder = [
		hosts.map(host => host.entry),
		hosts.map(host => host.agent),
		[...backends.map(backend => backend.program), platform],
	];
	return {
		hosts,
		async stop() {
			const failed: string[] = [];
			for (const programs of inStopOrder) {
				const exits = await Promise.all(programs.map(async program => ({label: program.label, exit: await program.stop()})));
				failed.push(...exits.filter(({exit}) => exit.code !== 0).map(({label}) => label));
			}

			return failed;
		},
	};
}
