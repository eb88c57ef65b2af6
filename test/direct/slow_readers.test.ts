/** Callers that read slowly or not at all, and many bodies at once. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {parseDirectSettings} from '../../src/direct/settings.js';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {answerWell, signed} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet, FleetOptions} from '../support/direct_fleet.js';

const CALLER_TIMEOUT_MS = 700;
const SLOW_READERS = {callerTimeoutMs: CALLER_TIMEOUT_MS, maxHeldShare: 0.5};
/** More than the kernel's buffers of both connections of a stream hold. */
const EVENT_BYTES = 64 * 1024;
const EVENTS = 400;
/** Answers that are buffered until they are complete. */
const ANSWER_BYTES = 1_000_000;
const ANSWERS = 10;
/** Time until the held bytes of a new answer are measured. */
const HELD_SHOWN_MS = 250;
/** Time for which a draining entry still accepts connections. */
const ACCEPTING_MS = 2_600;
/** Time limit of routes that is reached by no request, in milliseconds. */
const PATIENT_MS = 30_000;

let fleet: DirectFleet;
const sockets: Socket[] = [];
const start = async (options: FleetOptions) => {
  fleet = await startDirectFleet(options);
};
afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  await fleet.close();
});

/** A stream of large events, with backpressure as a replica applies it. */
const streamMuch: Behaviour = (arrival, res) => {
  const from = Number(arrival.headers['last-event-id'] ?? 0);
  const piece = 'x'.repeat(EVENT_BYTES);
  res.writeHead(200, signed(arrival));
  const next = (id: number): void => {
    if (id > EVENTS) res.end();
    else if (res.write(`id: ${id}\ndata: ${piece}\n\n`)) {
      setImmediate(() => next(id + 1));
    } else res.once('drain', () => next(id + 1));
  };
  next(from + 1);
};

/** A caller that reads only while it is told to. */
interface ManualCaller {
  readonly socket: Socket;
  received(): number;
  /** The end of what was received. */
  tail(): string;
  /** Undefined while the connection is open. */
  closedBy(): 'end' | 'reset' | undefined;
}

let requestCount = 0;

function sendRequest(
  socket: Socket,
  path: string,
  body = 'a prompt',
  declared = body.length,
): void {
  socket.write(
    [
      `POST ${path} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Request-Id: manual-${++requestCount}`,
      `Authorization: Token ${KEY}`,
      'X-Deadline-Ms: 8000',
      'X-Token-Usage: 1000,100',
      `Content-Length: ${declared}`,
      '',
      body,
    ].join('\r\n'),
  );
}

function openCaller(path: string, body?: string, declared?: number) {
  const [host, port] = fleet.callers.split(':');
  const socket = connect(Number(port), host);
  sockets.push(socket);
  let received = 0;
  let tail = '';
  let closedBy: 'end' | 'reset' | undefined;
  socket.on('data', chunk => {
    received += chunk.length;
    tail = (tail + chunk.toString('latin1')).slice(-400);
  });
  socket.on('end', () => (closedBy ??= 'end'));
  socket.on('error', () => (closedBy ??= 'reset'));
  sendRequest(socket, path, body, declared);
  const caller: ManualCaller = {
    socket,
    received: () => received,
    tail: () => tail,
    closedBy: () => closedBy,
  };
  return caller;
}

const cutsLogged = () =>
  fleet.runtime.events.filter(({event}) => event.name === 'direct-caller-cut');
const arrivals = () => fleet.pool.flatMap(replica => replica.arrivals);
const heldAnswerBytes = () =>
  Number(
    /onyxloft_direct_held_bytes\{direction="answers"\} (\d+)/.exec(
      fleet.runtime.metrics.render(),
    )?.[1],
  );
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a stream whose caller stops reading after its first bytes. */
async function stopReading(): Promise<ManualCaller> {
  const caller = openCaller('/stream/a');
  await until(() => caller.received() > 0);
  caller.socket.pause();
  return caller;
}

describe('a caller that stops reading', () => {
  // Guards against bytes that the entry and the replica hold until the
  // request's time limit.
  test('is disconnected after the time, and the replica is told', async () => {
    await start({slowReaders: SLOW_READERS});
    for (const replica of fleet.pool) replica.behave(streamMuch);
    const caller = await stopReading();
    await until(() => cutsLogged().length > 0, 3_000);
    expect(cutsLogged()[0].fields).toMatchObject({cause: 'not reading'});
    await until(() => arrivals().every(({left}) => left));
    // A second replica must not run the request because its caller is slow.
    expect(arrivals()).toHaveLength(1);
    caller.socket.resume();
    await until(() => caller.closedBy() !== undefined);
    // The last chunk of a complete response is empty.
    expect(caller.tail().endsWith('0\r\n\r\n')).toBe(false);
  });

  // A pause of a caller, or of its network, must not cost it its answer.
  test('keeps its stream if it goes on in time', async () => {
    await start({slowReaders: SLOW_READERS});
    for (const replica of fleet.pool) replica.behave(streamMuch);
    const caller = await stopReading();
    await sleep(CALLER_TIMEOUT_MS - 200);
    caller.socket.resume();
    await until(() => caller.tail().endsWith('0\r\n\r\n'), 4_000);
    expect(caller.received()).toBeGreaterThan(EVENTS * EVENT_BYTES);
    expect(cutsLogged()).toEqual([]);
    expect(arrivals()).toHaveLength(1);
  });

  // Complete answers wait for as long as their caller needs to read them.
  test('is distinguished from one that reads complete answers slowly', async () => {
    await start({slowReaders: SLOW_READERS});
    for (const replica of fleet.desk) {
      replica.behave((arrival, res) => {
        res.writeHead(200, signed(arrival));
        res.end('x'.repeat(ANSWER_BYTES));
      });
    }
    // Requests of one connection take turns, and none may be late for that.
    const {routes, ...config} = configOf(2);
    const patient = routes.map(route => ({...route, timeoutMs: PATIENT_MS}));
    fleet.store.put('config', 'main', {...config, routes: patient});
    await until(() =>
      fleet.runtime.events.some(
        ({event, fields}) =>
          event.name === 'direct-config-adopted' && fields['version'] === 2,
      ),
    );
    const caller = openCaller('/again/a');
    // Further answers on the connection exceed the kernel's buffers.
    for (let at = 1; at < ANSWERS; at++) sendRequest(caller.socket, '/again/a');
    await until(() => caller.received() > 0);
    caller.socket.pause();
    await until(() => heldAnswerBytes() > ANSWER_BYTES);
    await readSlowly(caller, ANSWERS * ANSWER_BYTES, 3 * CALLER_TIMEOUT_MS);
    expect(cutsLogged()).toEqual([]);
  });

  // Earlier deployments have no such setting and keep their behaviour.
  test('is not disconnected without the setting', async () => {
    await start({});
    for (const replica of fleet.pool) replica.behave(streamMuch);
    await stopReading();
    await sleep(2 * CALLER_TIMEOUT_MS);
    expect(cutsLogged()).toEqual([]);
    expect(arrivals().some(({left}) => !left)).toBe(true);
  });
});

describe('a caller that is still reading its answer at a drain', () => {
  // Node counts a connection as idle once its answer has been handed over, and
  // the drain counted the request as ended then.
  test('gets all of it', async () => {
    await start({slowReaders: {...SLOW_READERS, callerTimeoutMs: 10_000}});
    for (const replica of fleet.desk) {
      replica.behave((arrival, res) => {
        res.writeHead(200, signed(arrival));
        res.end('x'.repeat(ANSWER_BYTES));
      });
    }
    const caller = openCaller('/again/a');
    await until(() => caller.received() > 0);
    caller.socket.pause();
    let sent = 1;
    // The answers before the last one fill the kernel's buffers.
    for (; heldAnswerBytes() === 0 && sent < 2 * ANSWERS; sent++) {
      sendRequest(caller.socket, '/again/a');
      await sleep(HELD_SHOWN_MS);
    }
    let isDrained = false;
    const drained = fleet.entry.drain().then(() => {
      isDrained = true;
    });
    await sleep(ACCEPTING_MS + HELD_SHOWN_MS);
    expect(isDrained).toBe(false);
    caller.socket.resume();
    await until(() => caller.closedBy() !== undefined);
    expect(caller.received()).toBeGreaterThan(sent * ANSWER_BYTES);
    await drained;
  });
});

/** Reads that many bytes in equal steps over `overMs`. */
async function readSlowly(
  caller: ManualCaller,
  bytes: number,
  overMs: number,
): Promise<void> {
  const steps = 20;
  for (let at = 1; at <= steps; at++) {
    caller.socket.pause();
    await sleep(overMs / steps);
    caller.socket.resume();
    await until(() => caller.received() >= (bytes * at) / steps);
  }
}

describe('many slow callers', () => {
  // What they hold must neither exceed the bound nor end other callers'
  // requests.
  test('stay within the bound, and a fast one is served', async () => {
    // The bound is 512 KB, fewer bytes than the slow callers would hold.
    await start({
      slowReaders: {callerTimeoutMs: 30_000, maxHeldShare: 0.5},
      memoryMb: 1,
      pool: 4,
    });
    for (const replica of fleet.pool) replica.behave(streamMuch);
    for (const replica of fleet.desk) replica.behave(answerWell);
    const slow = Array.from({length: 12}, () => openCaller('/stream/a'));
    for (const {socket} of slow) socket.once('data', () => socket.pause());
    await until(() => cutsLogged().length > 0, 15_000);
    await sleep(300);
    expect(await callEntry(fleet, '/again/')).toMatchObject({status: 200});
    const causes = cutsLogged().map(({fields}) => fields.cause);
    expect(new Set(causes)).toEqual(new Set(['memory']));
    expect(causes.length).toBeLessThan(slow.length);
  });
});

describe('an answer that is buffered', () => {
  // Guards against memory that is filled by many answers of up to 1 MiB that
  // are not complete yet.
  test('counts before a byte of it is written', async () => {
    await start({slowReaders: SLOW_READERS});
    for (const replica of fleet.desk) {
      replica.behave((arrival, res) => {
        res.writeHead(200, signed(arrival));
        res.write('x'.repeat(ANSWER_BYTES));
        setTimeout(() => res.end(), 400);
      });
    }
    const answer = callEntry(fleet, '/again/');
    await until(() => heldAnswerBytes() === ANSWER_BYTES);
    expect(await answer).toMatchObject({status: 200, whole: true});
    await until(() => heldAnswerBytes() === 0);
  });
});

describe('a flood of bodies', () => {
  // Guards against bodies that together exceed the entry's memory.
  test('is rejected before it is read, and nothing has run', async () => {
    // The bound is 52 KB, room for five bodies of 10,000 bytes.
    await start({
      slowReaders: {callerTimeoutMs: 1_000, maxHeldShare: 0.05},
      memoryMb: 1,
    });
    const body = 'x'.repeat(5_000);
    const flood = Array.from({length: 20}, () =>
      openCaller('/again/a', body, 10_000),
    );
    await until(
      () => flood.filter(it => it.tail().includes('503')).length === 15,
    );
    const rejected = flood.find(it => it.tail().includes('503'));
    expect(rejected?.tail()).toMatch(/Retry-After: 1\.\d+/);
    expect(fleet.desk.flatMap(it => it.arrivals)).toEqual([]);
    for (const {socket} of flood) socket.destroy();
    // What the flood held is released with its connections.
    await until(async () => (await callEntry(fleet, '/again/')).status === 200);
  });
});

describe('settings of slow readers', () => {
  const text = (slowReaders: unknown) =>
    JSON.stringify({
      role: 'direct-entry',
      node: 'entry-1',
      failureDomain: 'domain-1',
      ip: '127.0.0.1',
      listen: {
        callers: '127.0.0.1:1',
        ready: '127.0.0.1:2',
        metrics: '127.0.0.1:3',
      },
      peerPorts: [4],
      store: {address: '127.0.0.1:5'},
      limits: {memoryMb: 250, maxDescriptors: 1_000},
      timing: {graceS: 8, revokeMs: 5_000},
      retries: {ratio: 0.2, slack: 100, windowS: 10},
      slowReaders,
    });

  // Guards against a share in percent, which would be no bound, and a time of
  // 0, which would disconnect every caller.
  test.each([
    [{callerTimeoutMs: 2_000, maxHeldShare: 0.4}, true],
    [undefined, true],
    [{callerTimeoutMs: 0, maxHeldShare: 0.4}, false],
    [{callerTimeoutMs: 2_000, maxHeldShare: 40}, false],
    [{callerTimeoutMs: 2_000, maxHeldShare: 0}, false],
  ])('%j are valid: %s', (slowReaders, isValid) => {
    expect(parseDirectSettings(text(slowReaders)).isRight()).toBe(isValid);
  });
});
