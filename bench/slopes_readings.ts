/**
 * What real processes cost, read from outside of them: processor time from
 * `/proc`, bytes from their own counters at the socket, memory through V8's
 * inspector after a forced collection, and calls from the object API's counts.
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket, request} from 'undici';
import type {Fleet} from '../demo/fleet_runner.js';

const NS_PER_SEC = 1e9;
const PEER_BYTES =
  /^onyxloft_peer_bytes_total\{direction="(in|out)",kind="(\w+)"\} (\d+)$/gm;
const INSPECTOR_URL = /ws:\/\/127\.0\.0\.1:\d+\/[0-9a-f-]+/g;

/** Rates of one process over an interval. */
export interface Rates {
  /** Share of one core, in percent; all threads. */
  readonly cpuPercent: number;
  /** Between the system's processes, both directions, bytes a second. */
  readonly controlBytes: number;
  readonly requestBytes: number;
  /** Read and written by any means, the platform's services included. */
  readonly allBytes: number;
}

export interface Memory {
  readonly heapMb: number;
  /** Buffers outside of the heap. */
  readonly buffersMb: number;
  readonly rssMb: number;
}

/** Calls to the object API by purpose and kind, and their sum. */
export type StoreCounts = ReadonlyMap<string, number>;

interface Totals {
  readonly atMs: number;
  readonly cpuNs: number;
  readonly controlBytes: number;
  readonly requestBytes: number;
  readonly allBytes: number;
}

interface DaemonSettings {
  readonly settings: {
    readonly role: 'entry' | 'side';
    readonly listen: {readonly operators: string};
  };
}

/** Names of the fleet's daemons of one role. */
export function daemonsOf(
  fleet: Fleet,
  role: 'entry' | 'side',
): readonly string[] {
  return fleet.plan.processes
    .filter(one => one.program === 'src/onyxloftd' && one.role === role)
    .map(one => one.name);
}

/** Sum over all threads; finer than the clock ticks of `stat`. */
function cpuNs(pid: number): number {
  const tasks = readdirSync(`/proc/${pid}/task`);
  return tasks.reduce((total, task) => {
    const path = `/proc/${pid}/task/${task}/schedstat`;
    return total + Number(readFileSync(path, 'utf8').split(' ')[0]);
  }, 0);
}

/** Bytes that went through the process's read and write calls. */
function ioBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  const field = (name: string) =>
    Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(text)?.[1] ?? 0);
  return field('rchar') + field('wchar');
}

async function metricsOf(fleet: Fleet, name: string): Promise<string> {
  const plan = fleet.plan.processes.find(one => one.name === name);
  const {settings} = plan as DaemonSettings;
  const url = `http://${settings.listen.operators}/metrics`;
  return (await request(url)).body.text();
}

/** Which of these entries is the placer now, if any. */
export async function placerOf(
  fleet: Fleet,
  names: readonly string[],
): Promise<string | undefined> {
  const texts = await Promise.all(names.map(name => metricsOf(fleet, name)));
  return names.find((_, i) => /^onyxloft_placer 1$/m.test(texts[i] ?? ''));
}

async function peerBytes(fleet: Fleet, name: string) {
  const text = await metricsOf(fleet, name);
  const bytes = {control: 0, request: 0};
  for (const [, , kind, value] of text.matchAll(PEER_BYTES)) {
    bytes[kind as keyof typeof bytes] += Number(value);
  }
  return bytes;
}

async function totals(fleet: Fleet, name: string): Promise<Totals> {
  const pid = fleet.pid(name);
  const bytes = await peerBytes(fleet, name);
  return {
    atMs: performance.now(),
    cpuNs: cpuNs(pid),
    controlBytes: bytes.control,
    requestBytes: bytes.request,
    allBytes: ioBytes(pid),
  };
}

/** Rates of each named process while `work` is done. */
export async function ratesOf(
  fleet: Fleet,
  names: readonly string[],
  work: () => Promise<unknown>,
): Promise<readonly Rates[]> {
  const before = await Promise.all(names.map(name => totals(fleet, name)));
  await work();
  const after = await Promise.all(names.map(name => totals(fleet, name)));
  return before.map((from, i) => toRates(from, after[i] ?? from));
}

function toRates(from: Totals, to: Totals): Rates {
  const seconds = (to.atMs - from.atMs) / 1000;
  return {
    cpuPercent: ((to.cpuNs - from.cpuNs) / NS_PER_SEC / seconds) * 100,
    controlBytes: (to.controlBytes - from.controlBytes) / seconds,
    requestBytes: (to.requestBytes - from.requestBytes) / seconds,
    allBytes: (to.allBytes - from.allBytes) / seconds,
  };
}

/** Memory of a process that runs with `--inspect`, after a collection. */
export async function memoryOf(fleet: Fleet, name: string): Promise<Memory> {
  const log = readFileSync(join(fleet.dir, `${name}.log`), 'utf8');
  const url = log.match(INSPECTOR_URL)?.at(-1);
  if (url === undefined) throw new Error(`${name} has no inspector`);
  const socket = new WebSocket(url);
  await new Promise((resolve, reject) => {
    socket.addEventListener('open', resolve);
    socket.addEventListener('error', reject);
  });
  let lastId = 0;
  const ask = (method: string, params: object = {}) => {
    const id = ++lastId;
    return new Promise<string>(resolve => {
      socket.addEventListener('message', ({data}) => {
        if (JSON.parse(String(data)).id === id) resolve(String(data));
      });
      socket.send(JSON.stringify({id, method, params}));
    });
  };
  await ask('HeapProfiler.collectGarbage');
  await sleep(200);
  await ask('HeapProfiler.collectGarbage');
  const answer = await ask('Runtime.evaluate', {
    expression: 'JSON.stringify(process.memoryUsage())',
  });
  socket.close();
  const {result} = JSON.parse(answer) as {result: {result: {value: string}}};
  const usage = JSON.parse(result.result.value) as NodeJS.MemoryUsage;
  const mb = (bytes: number) => bytes / 1e6;
  return {
    heapMb: mb(usage.heapUsed),
    buffersMb: mb(usage.external),
    rssMb: mb(usage.rss),
  };
}

/** Counts until now. */
export async function storeCounts(fleet: Fleet): Promise<StoreCounts> {
  const res = await request(`${fleet.plan.objectApiUrl}/counts`);
  const {counts} = (await res.body.json()) as {
    counts: ReadonlyArray<{purpose: string; kind: string; calls: number}>;
  };
  const byName = counts.map(
    ({purpose, kind, calls}) => [`${purpose} ${kind}`, calls] as const,
  );
  const all = counts.reduce((total, {calls}) => total + calls, 0);
  return new Map([...byName, ['all', all]]);
}

/** Counts that came between two readings. */
export function countsBetween(from: StoreCounts, to: StoreCounts): StoreCounts {
  return new Map(
    [...to].map(([name, calls]) => [name, calls - (from.get(name) ?? 0)]),
  );
}
