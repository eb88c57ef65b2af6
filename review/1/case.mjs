/**
 * Entries are stopped in turn while clients send one request after the other on
 * kept connections. A request that an entry passes on must be answered.
 */
import {Agent} from 'node:http';
import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {
  RESTART_DELAY_MS,
  configOf,
  loopback,
  runCase,
  sendRequest,
  serverEntry,
  sleep,
  startEntries,
  startReplica,
  startStore,
  untilReady,
} from '../lib/platform.mjs';

const ENTRIES = 3;
const CLIENTS = 24;
const EVENTS = 32;
const EVENT_INTERVAL_MS = 60;
const BOOKING_MS = 21;
/** A client works this long on an answer that it has read. */
const CLIENT_WORK_MS = 5;
/** One entry of three gets SIGTERM, then the next one (`roll_term`). */
const STOPPED = 2;
const GRACE_MS = 8_000;
const SETTLE_MS = 4_000;

const eventOf = id => `id: ${id}\ndata: piece ${id}\n\n`;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {dir, record, hasTrouble} = context;
  const store = await startStore(loopback(1));
  const ran = new Map();
  const stream = ({requestId, id}, res, headers) => {
    record(`ran ${requestId} at ${id}`);
    ran.set(requestId, id);
    res.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
    let sent = 0;
    const timer = setInterval(() => {
      if (sent++ < EVENTS) return void res.write(eventOf(sent));
      clearInterval(timer);
      res.end();
    }, EVENT_INTERVAL_MS);
    res.once('close', () => clearInterval(timer));
  };
  const book = ({requestId, id}, res, headers) => {
    record(`ran ${requestId} at ${id}`);
    ran.set(requestId, id);
    const body = `booked ${requestId}`;
    setTimeout(() => {
      res.writeHead(200, {...headers, 'Content-Length': body.length});
      res.end(body);
    }, BOOKING_MS);
  };
  const addReplica = async (host, id, service, behave) => {
    const replica = await startReplica(loopback(host), id, behave);
    store.put('servers', id, serverEntry(replica, service, 16));
  };
  for (let at = 0; at < 4; at++) {
    await addReplica(10 + at, `i-llm-${at}`, 'credit-llm', stream);
  }
  for (let at = 0; at < 3; at++) {
    await addReplica(20 + at, `i-app-${at}`, 'ledger-app', book);
  }
  const chat = {
    name: 'checkout-chat',
    pathPrefix: '/chat/',
    kind: 'streaming',
    timeoutMs: 10_000,
    sloMs: 304,
    gapAimMs: 250,
    priority: 1,
    service: 'credit-llm',
    maxAttempts: 2,
    resumable: true,
  };
  const booking = {
    name: 'plan-booking',
    pathPrefix: '/book/',
    kind: 'unsafe',
    timeoutMs: 5_000,
    sloMs: 145,
    priority: 2,
    service: 'ledger-app',
    maxAttempts: 1,
  };
  const services = ['credit-llm', 'ledger-app'];
  store.put('config', 'main', configOf([chat, booking], services));
  const entries = await startEntries(ENTRIES, {store, dir, firstHost: 30});
  const inRotation = new Set(entries);

  let requests = 0;
  const answers = [];
  const send = async (agent, entry, path, deadlineMs) => {
    const id = (requests++).toString(16).padStart(16, '0');
    record(`sent ${id} ${path} to ${entry.node}`);
    const request = {id, path, deadlineMs, key: 'key-1', agent};
    const answer = await sendRequest(entry, request);
    workFor(CLIENT_WORK_MS);
    const {status, isComplete, error = 'none'} = answer;
    const state = isComplete ? 'complete' : `no complete answer, ${error}`;
    record(`answered ${id}: ${status}, ${state}`);
    answers.push({id, path, entry: entry.node, at: Date.now(), ...answer});
    return answer;
  };
  let isOver = false;
  /**
   * A chat, and a booking that waits for the same connection. A connection that
   * the entry has closed, or says it closes, is replaced by a new one.
   */
  const runClient = async number => {
    await sleep(number * 90);
    while (!isOver) {
      const ready = [...inRotation];
      const entry = ready[number % ready.length];
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      let isOpen = true;
      while (isOpen && !isOver) {
        const both = await Promise.all([
          send(agent, entry, '/chat/2f', 10_000),
          send(agent, entry, '/book/2f', 5_000),
        ]);
        isOpen = both.every(
          ({isComplete, connection}) => isComplete && connection !== 'close',
        );
      }
      agent.destroy();
    }
  };
  const clients = Array.from({length: CLIENTS}, (_, at) => runClient(at));

  /** New connections end after two failed checks, one second apart. */
  const leaveRotation = async entry => {
    await sleep(2_000);
    inRotation.delete(entry);
  };
  const stops = [];
  const stop = async entry => {
    record(`SIGTERM to ${entry.node}`);
    stops.push({entry: entry.node, at: Date.now()});
    entry.signal('SIGTERM');
    const hasLeft = leaveRotation(entry);
    const grace = setTimeout(() => entry.signal('SIGKILL'), GRACE_MS);
    await entry.ended;
    clearTimeout(grace);
    record(`${entry.node} ended`);
    await hasLeft;
    await sleep(RESTART_DELAY_MS);
    entry.start();
    await untilReady(entry);
    inRotation.add(entry);
  };
  await sleep(SETTLE_MS);
  for (const entry of entries.slice(0, STOPPED)) {
    if (hasTrouble) await stop(entry);
    await sleep(SETTLE_MS);
  }
  isOver = true;
  await Promise.all(clients);

  const isDuringStop = ({entry, at}) =>
    stops.some(
      it => it.entry === entry && at >= it.at && at < it.at + GRACE_MS + 1_000,
    );
  const lost = answers.filter(
    answer => !answer.isComplete && ran.has(answer.id),
  );
  const counted = hasTrouble ? lost.filter(isDuringStop) : lost;
  for (const {id, path, entry} of counted) {
    record(`LOST ${id} ${path}: ran at ${ran.get(id)}, closed by ${entry}`);
  }
  const open = answers.filter(({isComplete}) => !isComplete).length;
  return {
    isBroken: counted.length > 0,
    summary:
      `${requests} requests, ${stops.length} entries stopped, ` +
      `${open} connections closed without a complete answer, ` +
      `${counted.length} of these requests were passed on and ran`,
  };
});

/** The client's own work on an answer. */
function workFor(ms) {
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt);
}
