/**
 * Test fixture: the server for callers alone, on the loopback interface and the
 * real clock, and callers that write and read raw bytes.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRequestErrors} from '../../src/direct/boundary/connection_guard.js';
import {openCallersServer} from '../../src/direct/callers/callers_server.js';
import type {CallersServer} from '../../src/direct/callers/callers_server.js';
import {createLimitsInForce} from '../../src/direct/callers/limits_in_force.js';
import type {RequestHandler} from '../../src/direct/callers/server_listeners.js';
import type {CallerLimits} from '../../src/direct/types.js';
import type {Runtime} from '../../src/types/runtime.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {nextAddress, until} from './direct_fleet.js';

/** Time in which a version of the limits reaches all callers. */
const KNOWN_WITHIN_MS = 5_000;
/** More descriptors than a test uses unless it sets others. */
const MAX_DESCRIPTORS = 1_000;
/** Limits that no test reaches unless it sets others. */
export const WIDE_LIMITS: CallerLimits = {
  maxHeaderBytes: 4_096,
  maxBodyBytes: 10_000,
  headersTimeoutMs: 10_000,
  idleTimeoutMs: 10_000,
};

export interface CallersServerFixture {
  readonly server: CallersServer;
  readonly address: string;
  readonly runtime: RecordingRuntime;
  /** Sets limits that differ from `WIDE_LIMITS` by these. */
  setLimits(limits: Partial<CallerLimits>): void;
}

export interface RawCaller {
  readonly socket: Socket;
  /** What was received so far. */
  text(): string;
  /** Undefined while the connection is open. */
  closedBy(): 'end' | 'reset' | undefined;
  /** Milliseconds from the opening until it was closed. */
  closedAfterMs(): number | undefined;
}

/** Answers each request with its path. */
export const answerPath: RequestHandler = (req, res) => {
  req.resume();
  res.end(`answer to ${req.url}`);
};

export async function startCallersServer(
  limits: Partial<CallerLimits>,
  handler: RequestHandler = answerPath,
  maxDescriptors = MAX_DESCRIPTORS,
  admit = () => true,
  wrapRuntime = (it: Runtime) => it,
): Promise<CallersServerFixture> {
  const runtime = createRecordingRuntime();
  const address = await nextAddress();
  const {clock, log, metrics, random} = wrapRuntime({
    ...runtime.runtime,
    clock: createProcessClock(),
  });
  const inForce = createLimitsInForce(clock.now, KNOWN_WITHIN_MS);
  inForce.set({...WIDE_LIMITS, ...limits});
  const server = await openCallersServer({
    address,
    handler,
    onRequestError: createRequestErrors({
      log,
      metrics,
      idOf: () => undefined,
      isLastRead: () => true,
    }),
    admit,
    collect: () => undefined,
    random: () => random.next() * 0,
    // Idle connections are kept for the least margin.
    limits: {...inForce, knownWithinMs: 0},
    maxDescriptors,
    clock,
    log,
    metrics,
  });
  const setLimits = (next: Partial<CallerLimits>) => {
    inForce.set({...WIDE_LIMITS, ...next});
    server.applyLimits();
  };
  return {server, address, runtime, setLimits};
}

/** Opens a connection that ends its direction only when the test says so. */
export function openRawCaller(address: string): RawCaller {
  const [host, port] = address.split(':');
  const openedAt = performance.now();
  const socket = connect({host, port: Number(port), allowHalfOpen: true});
  let text = '';
  let closedBy: 'end' | 'reset' | undefined;
  let closedAfterMs: number | undefined;
  const close = (by: 'end' | 'reset') => {
    closedBy ??= by;
    closedAfterMs ??= performance.now() - openedAt;
  };
  socket.on('data', chunk => (text += chunk.toString('latin1')));
  socket.on('end', () => close('end'));
  socket.on('error', () => close('reset'));
  return {
    socket,
    text: () => text,
    closedBy: () => closedBy,
    closedAfterMs: () => closedAfterMs,
  };
}

export function requestText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: host\r\n\r\n`;
}

/** Sends a request and resolves when its answer has come or cannot come. */
export async function ask(caller: RawCaller, path: string): Promise<string> {
  const before = caller.text().length;
  caller.socket.write(requestText(path));
  const answer = () => caller.text().slice(before);
  await until(() => answer().includes(path) || caller.closedBy() !== undefined);
  return answer();
}

/** Opens a connection with one answered request, so that it idles. */
export async function openIdleCaller(address: string): Promise<RawCaller> {
  const caller = openRawCaller(address);
  await ask(caller, '/first');
  return caller;
}

/** Blocks the event loop after what was written has reached the kernel. */
export async function writeAndStall(
  caller: RawCaller,
  text: string,
  stallMs: number,
): Promise<void> {
  await sleep(0);
  caller.socket.write(text);
  const endsAt = performance.now() + stallMs;
  while (performance.now() < endsAt);
}
