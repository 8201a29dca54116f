/**
 * Loaded by `node --import` into a process whose wall clock is to be wrong. Until
 * the process first listens, its clock can show an earlier time, so that the
 * process seems to have started earlier. The programs themselves are unchanged.
 */
import net from 'node:net';
import process from 'node:process';

const aheadMs = Number(process.env.FLEET_CLOCK_AHEAD ?? 0);
const startedAgoMs = Number(process.env.FLEET_STARTED_AGO ?? 0);
const trueNow = Date.now.bind(Date);
let isStarting = startedAgoMs > 0;

Date.now = () => trueNow() + aheadMs - (isStarting ? startedAgoMs : 0);

type Listen = (this: net.Server, ...args: unknown[]) => net.Server;

const listen = net.Server.prototype.listen as unknown as Listen;

const listenAndStart: Listen = function (...args) {
	isStarting = false;
	return listen.apply(this, args);
};

net.Server.prototype.listen = listenAndStart;
