/**
 * Starts the project's own program as the deploy file says, beside stand-ins on
 * loopback addresses of this process alone, and ends all of it.
 */
import console from 'node:console';
import {spawn} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {renderTemplate} from './template.mjs';

export const ROOT = resolve(import.meta.dirname, '../..');
const READY_WITHIN_MS = 30_000;
const FRONT_PORT = 8227;
const READY_PORT = 8220;
const CONTROL_PORT = 8229;
const PEER_PORTS = [7340, 7355];

/** Loopback addresses that other processes hardly use: 127.x.y.0/24. */
const NET = `127.${20 + (process.pid % 200)}.${1 + ((process.pid >> 8) % 250)}`;
let lastHost = 0;
export const nextIp = () => `${NET}.${++lastHost}`;

/** The figures of the sheet of `psky-onyx`. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  skewMaxMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 102,
  recoverS: 12,
  passMs: 120,
  againS: 0,
  stall_ms: 1500,
  holdMaxMs: 20000,
  freeMs: 4000,
  idleMaxMs: 9000,
};
export const bounds = BOUNDS;

const LIMITS = {
  cpuShare: 0.513,
  cores: 1,
  memoryMb: 350,
  maxFds: 4100,
  linkMbps: 1000,
  diskMb: 0,
};

/** Limits of callers, as the operator's configuration on the bench has them. */
export const CALLER_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** What the deploy file says of the one role. */
function readRole() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const valueOf = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)?.[1];
  return {run: valueOf('run').split(' '), template: valueOf('template')};
}

function cannotRun(message) {
  console.log(`cannot run: ${message}`);
  process.exit(2);
}

/** Creates a fleet of entries; they start with `entry.start()`. */
export function createFleet(store, record) {
  const {run, template} = readRole();
  if (!existsSync(join(ROOT, run.at(-1)))) cannotRun('the system is not built');
  const text = readFileSync(join(ROOT, template), 'utf8');
  const dir = mkdtempSync(join(tmpdir(), 'review-2-'));
  const entries = [];

  const addEntry = (node, zone, {limits = LIMITS} = {}) => {
    const ip = nextIp();
    const path = join(dir, `${node}.json`);
    let starts = 0;
    let child;
    let output = '';
    const fields = () => ({
      node,
      role: 'entry',
      machineClass: 'edge',
      serves: ['edge'],
      ip,
      zone,
      region: 'region-1',
      portRange: PEER_PORTS,
      seeds: [],
      bootstrap: starts === 0,
      listen: {
        front: `${ip}:${FRONT_PORT}`,
        ready: `${ip}:${READY_PORT}`,
        control: `${ip}:${CONTROL_PORT}`,
      },
      limits,
      bounds: BOUNDS,
      platform: {address: store.address, form: 'objects'},
    });
    const entry = {
      node,
      ip,
      port: FRONT_PORT,
      get pid() {
        return child?.pid;
      },
      output: () => output,
      start: async () => {
        writeFileSync(path, renderTemplate(text, fields()));
        starts++;
        child = spawn(run[0], run.slice(1), {
          cwd: ROOT,
          stdio: ['ignore', 'pipe', 'pipe'],
          env: {PATH: process.env.PATH, ONYXLOFT_NODE_FILE: path},
        });
        const own = child;
        for (const stream of [child.stdout, child.stderr]) {
          stream.on('data', piece => (output += piece));
        }
        child.once('exit', (code, signal) => {
          record(`${node} ends: code ${code}, signal ${signal}`);
        });
        record(`${node} starts as process ${child.pid}`);
        const endsAt = performance.now() + READY_WITHIN_MS;
        while (!(await isReady(ip))) {
          if (performance.now() > endsAt || own.exitCode !== null) {
            throw new Error(`${node} is not ready: ${output.slice(-2_000)}`);
          }
          await sleep(20);
        }
        record(`${node} is ready`);
      },
      /** Sends a signal to the process that this fleet started. */
      signal: name => {
        record(`${node} gets ${name}`);
        child.kill(name);
      },
      hasEnded: () => child.exitCode !== null || child.signalCode !== null,
      ended: () =>
        entry.hasEnded()
          ? Promise.resolve()
          : new Promise(done => child.once('exit', done)),
    };
    entries.push(entry);
    return entry;
  };
  return {
    dir,
    addEntry,
    close: async () => {
      for (const entry of entries) {
        if (entry.pid === undefined || entry.hasEnded()) continue;
        entry.signal('SIGCONT');
        entry.signal('SIGKILL');
        await entry.ended();
      }
      rmSync(dir, {recursive: true, force: true});
    },
  };
}

/** The platform's question, once. */
export function isReady(ip) {
  return new Promise(done => {
    const req = request(
      {host: ip, port: READY_PORT, path: '/api/ready', agent: false},
      res => {
        res.resume();
        done(res.statusCode === 200);
      },
    );
    req.setTimeout(1_000, () => req.destroy());
    req.once('error', () => done(false));
    req.end();
  });
}

/** Keeps lines with times, and writes them to `record.txt` of the case. */
export function createRecord(caseDir) {
  const startedAt = performance.now();
  const lines = [];
  const record = text => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${at.padStart(8)} ${text}`);
  };
  const write = () => {
    writeFileSync(join(caseDir, 'record.txt'), `${lines.join('\n')}\n`);
  };
  return {record, write};
}

/**
 * Runs a case: 1 where the rule was broken, 0 where it held, 2 where the case
 * could not run. All that was started has ended before.
 */
export async function runCase(caseDir, limitMs, play) {
  const {record, write} = createRecord(caseDir);
  const hasTrouble = process.env.TROUBLE !== '0';
  const closers = [];
  const own = close => closers.push(close);
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  const late = sleep(limitMs, undefined, {ref: false}).then(() => {
    throw new Error('the case took too long');
  });
  let code = 2;
  try {
    const broken = await Promise.race([play({record, hasTrouble, own}), late]);
    for (const text of broken) record(`BROKEN: ${text}`);
    record(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    code = broken.length > 0 ? 1 : 0;
  } catch (err) {
    record(`the case could not run: ${err.message}`);
  }
  for (const close of closers.reverse()) await close();
  write();
  console.log(`exit ${code}`);
  process.exit(code);
}
