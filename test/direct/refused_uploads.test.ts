/** Callers whose request is refused, also while they still send. */
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {createConnectionGuards} from '../../src/direct/boundary/connection_guard.js';
import {
  afterPoll,
  createConnectionEnds,
} from '../../src/direct/callers/connection_end.js';
import {createInputDiscards} from '../../src/direct/callers/input_discards.js';
import type {Clock} from '../../src/types/runtime.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {
  answerPath,
  ask,
  openRawCaller,
  requestText,
  startCallersServer,
} from '../support/callers_server.js';
import type {
  CallersServerFixture,
  RawCaller,
} from '../support/callers_server.js';
import {until} from '../support/direct_fleet.js';

/** More than the kernel's buffers of both ends hold. */
const MUCH_BYTES = 20_000_000;
/** Many pieces, so that some come after the refusal. */
const PIECE = 'x'.repeat(16 * 1024);
const PIECES = 64;
/** Time between two pieces, in milliseconds. */
const PIECE_MS = 10;

/** Node's timers may end so much before their time, in milliseconds. */
const EARLY_MS = 0.4;
/** The longest time for which a refused request is discarded. */
const DISCARDED_MS = 4_000;

/** A clock that ends each timer early, as Node does. */
function createEarlyClock() {
  let now = 0;
  let timers: ReadonlyArray<{at: number; run: () => void}> = [];
  const clock: Pick<Clock, 'now' | 'after'> = {
    now: () => now,
    after: (delayMs, run) => {
      const timer = {at: now + delayMs - EARLY_MS, run};
      timers = [...timers, timer].sort((one, other) => one.at - other.at);
      return () => (timers = timers.filter(it => it !== timer));
    },
  };
  /** Runs the next timer. */
  const runNext = (): void => {
    const [next] = timers;
    if (next === undefined) throw new Error('no timer is set');
    timers = timers.slice(1);
    now = next.at;
    next.run();
  };
  return {
    clock: {...clock, every: () => () => undefined},
    now: () => now,
    runNext,
  };
}

/** A connection on which bytes come without end. */
class SendingSocket extends EventEmitter {
  destroyed = false;
  private read = 0;
  get bytesRead(): number {
    return this.read++;
  }
  pause(): void {}
  push(): void {}
  resume(): void {}
  end(): void {}
  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

let fixture: CallersServerFixture;
let caller: RawCaller;
afterEach(async () => {
  caller.socket.destroy();
  await fixture.server.close();
});

/** Writes all pieces at a steady pace, and reads what is answered after that. */
async function writePieces(): Promise<void> {
  caller.socket.pause();
  for (let at = 0; at < PIECES && !caller.socket.destroyed; at++) {
    caller.socket.write(PIECE);
    await sleep(PIECE_MS);
  }
  caller.socket.resume();
}

describe('a caller whose request is refused while it sends', () => {
  // Guards against a reset that discards the refusal, after which the caller
  // does not know whether its request ran.
  test('reads the refusal of a body that is too large', async () => {
    fixture = await startCallersServer({}, (_req, res) => {
      res.writeHead(413, {Connection: 'close', 'Content-Length': 0});
      res.end();
    });
    caller = openRawCaller(fixture.address);
    caller.socket.write(
      `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ${MUCH_BYTES}\r\n\r\n`,
    );
    await writePieces();
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toContain('413');
    expect(caller.closedBy()).toBe('end');
  });

  // Guards against callers that are reset while they send a refused body.
  test.each([0, 50])(
    'can send the whole body when it is refused after %i ms',
    async lateMs => {
      fixture = await startCallersServer({}, (_req, res) => {
        setTimeout(() => {
          res.writeHead(503, {Connection: 'close', 'Content-Length': 0});
          res.end();
        }, lateMs);
      });
      caller = openRawCaller(fixture.address);
      const {socket} = caller;
      socket.pause();
      socket.write(
        `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ${MUCH_BYTES}\r\n\r\n`,
      );
      let isSent = false;
      socket.write('x'.repeat(MUCH_BYTES), err => (isSent = !err));
      await until(() => isSent || socket.destroyed);
      expect(isSent).toBe(true);
      socket.resume();
      await until(() => caller.closedBy() !== undefined);
      expect(caller.text()).toContain('503');
      expect(caller.closedBy()).toBe('end');
    },
  );

  // Guards against a second error of the parser, which ended the connection
  // before the refusal was read.
  test('reads the refusal of headers that are too large', async () => {
    fixture = await startCallersServer({});
    caller = openRawCaller(fixture.address);
    caller.socket.write('GET /a HTTP/1.1\r\nHost: h\r\nX-Large: ');
    await writePieces();
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toContain('431');
    expect(caller.closedBy()).toBe('end');
  });

  // Guards against descriptors that are never freed.
  test('is disconnected when it goes on sending', async () => {
    fixture = await startCallersServer({});
    caller = openRawCaller(fixture.address);
    caller.socket.write('no request\r\n\r\n');
    const {socket} = caller;
    const sending = setInterval(() => socket.write(PIECE), PIECE_MS);
    try {
      await until(() => socket.destroyed);
    } finally {
      clearInterval(sending);
    }
    expect(caller.text()).toContain('400');
  });
});

// Guards against a descriptor that is held for half as long again, since two
// timers end just before the time of both.
test('a refused request is discarded for no longer than its bound', async () => {
  const {clock, now, runNext} = createEarlyClock();
  const socket = new SendingSocket();
  const guards = createConnectionGuards(createRecordingRuntime().runtime);
  const collect = () => undefined;
  const discards = createInputDiscards({clock, guards, collect});
  const ends = createConnectionEnds({clock, guards, discards});
  ends.end(socket as unknown as Socket, 'discard', () => undefined);
  while (!socket.destroyed) {
    runNext();
    expect(now()).toBeLessThanOrEqual(DISCARDED_MS);
    await new Promise<void>(afterPoll);
  }
});

describe('a request that crosses an answer which closes the connection', () => {
  // Guards against a request that its caller must not repeat, since it was read
  // although nothing became of it.
  test('is not read, and the connection is closed in the end', async () => {
    const handled: string[] = [];
    fixture = await startCallersServer({}, (req, res) => {
      handled.push(req.url ?? '');
      if (!res.socket?.writable) return;
      res.writeHead(503, {Connection: 'close', 'Content-Length': 0});
      res.end();
    });
    caller = openRawCaller(fixture.address);
    caller.socket.write(requestText('/first'));
    await until(() => caller.closedBy() !== undefined);
    caller.socket.write(requestText('/second'));
    await sleep(500);
    expect(handled).toEqual(['/first']);
    await until(() => caller.socket.destroyed || handled.length > 1);
    expect(caller.text()).not.toContain('/second');
  });
});

describe('a request for a tunnel', () => {
  // Guards against a whole request that gets neither an answer nor a refusal.
  test('is refused', async () => {
    fixture = await startCallersServer({});
    caller = openRawCaller(fixture.address);
    caller.socket.write('CONNECT host:443 HTTP/1.1\r\nHost: host\r\n\r\n');
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toContain('400');
    expect(caller.closedBy()).toBe('end');
  });

  // Guards against a refusal that is written into the answer before it.
  test('is refused after the answer to the request before', async () => {
    fixture = await startCallersServer({}, (req, res) => {
      setTimeout(() => answerPath(req, res), 200);
    });
    caller = openRawCaller(fixture.address);
    caller.socket.write(requestText('/before'));
    caller.socket.write('CONNECT host:443 HTTP/1.1\r\nHost: host\r\n\r\n');
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toMatch(/answer to \/beforeHTTP\/1.1 400/);
  });
});

describe('a request with an expectation that the entry does not meet', () => {
  test('is refused, and the connection is kept', async () => {
    fixture = await startCallersServer({});
    caller = openRawCaller(fixture.address);
    caller.socket.write('GET /a HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n');
    await until(() => caller.text().includes('417'));
    expect(await ask(caller, '/second')).toContain('answer to /second');
  });
});

/** A request that offers another protocol, with this body. */
function offerText(path: string, body = ''): string {
  return (
    `POST ${path} HTTP/1.1\r\nHost: host\r\nConnection: Upgrade\r\n` +
    `Upgrade: h2c\r\nContent-Length: ${body.length}\r\n\r\n${body}`
  );
}

describe('a request that asks for another protocol', () => {
  // Guards against a whole request behind it that gets neither an answer, nor a
  // refusal, nor the end of its connection.
  test('leaves the request behind it an answer or the end', async () => {
    fixture = await startCallersServer({}, answerPath);
    caller = openRawCaller(fixture.address);
    const upgrade = 'Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n';
    caller.socket.write(
      requestText('/first').replace(/\r\n$/, upgrade) + requestText('/second'),
    );
    await until(() => caller.text().includes('answer to /first'));
    await sleep(500);
    const isAnswered = caller.text().includes('answer to /second');
    expect(isAnswered || caller.closedBy() !== undefined).toBe(true);
  });

  test('leaves the request behind its body an answer or the end', async () => {
    fixture = await startCallersServer({}, (req, res) => {
      req.resume();
      req.once('end', () => res.end(`answer to ${req.url}`));
    });
    caller = openRawCaller(fixture.address);
    const offer = offerText('/first', 'abc');
    caller.socket.write(offer.slice(0, -1));
    await sleep(100);
    caller.socket.write(offer.slice(-1) + requestText('/second'));
    await until(() => caller.text().includes('answer to /first'));
    await sleep(500);
    const isAnswered = caller.text().includes('answer to /second');
    expect(isAnswered || caller.closedBy() !== undefined).toBe(true);
  });

  // Guards against a new connection for each request of callers that offer it.
  test('keeps its connection where nothing is behind it', async () => {
    fixture = await startCallersServer({}, answerPath);
    caller = openRawCaller(fixture.address);
    caller.socket.write(offerText('/first'));
    await until(() => caller.text().includes('answer to /first'));
    caller.socket.write(offerText('/second', 'abc'));
    await until(() => caller.text().includes('answer to /second'));
    expect(await ask(caller, '/third')).toContain('answer to /third');
  });
});
