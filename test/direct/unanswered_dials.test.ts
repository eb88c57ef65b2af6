/**
 * Requests to replicas whose host accepts no connection for a while, as that of a
 * paused process whose queue of connections is full. No network; the clock is
 * virtual.
 */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {describe, expect, test} from 'vitest';
import {decodeConfig} from '../../platform/config_document.js';
import {DIAL_TIMED_OUT} from '../../src/direct/dispatch.js';
import type {OpenDispatch} from '../../src/direct/dispatch.js';
import {mayDialAgain} from '../../src/direct/decide/may_dial_again.js';
import {createServing} from '../../src/direct/serving.js';
import type {DirectReplica, Route} from '../../src/direct/types.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const REQUEST_ID = 'request-1';
const CONFIG = decodeConfig(configOf(1)).unsafeCoerce();
const DIAL_MS = 300;
const ANSWER_MS = 5;
const EVENT = 'id: 1\ndata: x\n\n';

/** The plain service, and that of engines. */
type Service = 'desk' | 'pool';

function replicaOf(name: string, service: Service): DirectReplica {
  return {
    id: name,
    name,
    startedAt: undefined,
    service,
    address: name,
    failureDomain: 'a',
    places: 4,
    leaving: false,
  };
}

type Dial = 'answers' | 'times out' | 'is refused';

function setUp(
  names: readonly string[],
  dial: (address: string) => Dial,
  service: Service = 'desk',
) {
  const clock = createVirtualClock();
  const {runtime} = createRecordingRuntime();
  const dials: string[] = [];
  const dispatch: OpenDispatch = ({address}, _clock, observer) => {
    dials.push(address);
    const outcome = dial(address);
    const cancel = clock.after(
      outcome === 'times out' ? DIAL_MS : ANSWER_MS,
      () => {
        if (outcome === 'times out') {
          observer.onBroken(false, DIAL_TIMED_OUT);
          return;
        }
        if (outcome === 'is refused') {
          observer.onBroken(false, 'connect ECONNREFUSED');
          return;
        }
        observer.onHead({
          status: 200,
          headers: {'content-length': String(EVENT.length)},
          rawHeaders: [],
        });
        observer.onData(Buffer.from(EVENT));
        observer.onEnd(false);
      },
    );
    return {
      cancel,
      // Only an answered attempt to connect lets the request be sent.
      takeBack: () => {
        if (outcome !== 'answers') cancel();
        return outcome !== 'answers';
      },
      pause: () => undefined,
      resume: () => undefined,
    };
  };
  const serving = createServing({
    clock,
    log: runtime.log,
    metrics: runtime.metrics,
    random: createSeededRandom(1),
    codec: {
      readRequest: () => {
        throw new Error('not used');
      },
      canName: () => true,
      dispatchHeaders: () => [],
      readAnswer: () => ({
        requestId: REQUEST_ID,
        signed: true,
        notRun: false,
        faultAt: undefined,
        encoded: false,
        requestLimit: undefined,
        notices: undefined,
      }),
    },
    dispatch,
    probePort: () => Promise.resolve('silent'),
    node: 'entry-1',
    orders: {
      reserve: () => Promise.resolve('refused'),
      release: () => Promise.resolve('refused'),
    },
    readReport: () => Promise.resolve(undefined),
    watchNotices: () => undefined,
    leavingMs: 1_500,
    failureDomain: 'a',
    retries: {ratio: 0, slack: 0, windowS: 10},
    idPrefix: 'entry-1',
    holdMs: 3_500,
    unusedMs: 2_000,
    closesAfter: () => false,
    shareLoads: () => undefined,
    limitLinks: {
      shareReports: () => undefined,
      sendAsk: () => undefined,
      sendAnswer: () => undefined,
    },
    shareCrashReports: () => undefined,
    quarantine: {
      onQuarantined: () => undefined,
      onCleared: () => undefined,
      claimTrial: () => Promise.resolve(false),
    },
  });
  const listed = (present: readonly string[]) =>
    serving.replicas.replaceAll(
      new Map(present.map(name => [name, replicaOf(name, service)])),
    );
  const restart = (name: string, startedAt: number) => {
    const id = `${name}@${startedAt}`;
    const started = {...replicaOf(name, service), id, startedAt};
    serving.replicas.applyChanges(new Map([[name, started]]));
  };
  listed(names);
  /** Sends a request; returns the caller's response as it is written. */
  const call = (
    routeName: string,
    timeLimitMs = 10_000,
    differing: Partial<Route> = {},
  ) => {
    const [route] = CONFIG.routes.filter(({name}) => name === routeName);
    const written = {status: 0, at: 0};
    const req = {
      rawHeaders: [],
      headers: {},
      method: 'POST',
      url: '/',
    } as unknown as IncomingMessage;
    const res = Object.assign(new EventEmitter(), {
      req,
      headersSent: false,
      writeHead: (status: number) => {
        Object.assign(written, {status, at: clock.now()});
        res.headersSent = true;
        return res;
      },
      write: () => true,
      end: () => undefined,
      removeHeader: () => undefined,
      setHeader: () => undefined,
      destroy: () => undefined,
    });
    serving.serve(
      {
        config: CONFIG,
        route: {...route, timeLimitMs, ...differing},
        service,
        facts: {
          id: REQUEST_ID,
          key: undefined,
          timeLeftMs: undefined,
          promptTokens: 0,
          maxTokens: 0,
          expectedTokens: undefined,
          lastEventId: undefined,
          sharedParts: [],
        },
        id: REQUEST_ID,
        owner: undefined,
        body: Buffer.from('a call'),
      },
      req,
      res as unknown as ServerResponse,
      clock.now(),
    );
    return written;
  };
  return {clock, call, dials, listed, restart};
}

describe('a call to the only replica, whose host accepts no connection', () => {
  // Nothing had been sent, and the call was refused after one attempt to connect.
  test.each([
    ['once', 1_200],
    ['once', 2_500],
    ['again', 1_200],
    ['again', 2_500],
  ])('is answered on route %s if it goes on after %i ms', async (name, ms) => {
    const {clock, call} = setUp(['a'], () =>
      clock.now() < ms ? 'times out' : 'answers',
    );
    const written = call(name);
    await clock.runFor(ms + 2 * DIAL_MS);
    expect(written.status).toBe(200);
  });

  test('is refused as not run when the replica is gone', async () => {
    const {clock, call, listed} = setUp(['a'], () => 'times out');
    const written = call('once');
    await clock.runFor(1_000);
    expect(written.status).toBe(0);
    listed([]);
    await clock.runFor(2 * DIAL_MS);
    expect(written.status).toBe(503);
  });

  test('is refused as not run while its caller may still ask elsewhere', async () => {
    const {clock, call, dials} = setUp(['a'], () => 'times out');
    const written = call('once', 2_000);
    await clock.runFor(2_000);
    expect(written.status).toBe(503);
    expect(written.at).toBeLessThan(1_500);
    expect(dials.length).toBeLessThan(6);
  });

  // A replica that has not got the request cannot have run it, and the caller
  // may send it again only if it is told so.
  test('is refused as not run when its time is up', async () => {
    const {clock, call} = setUp(['a'], () => 'times out');
    const written = call('once', DIAL_MS / 2);
    await clock.runFor(DIAL_MS);
    expect(written.status).toBe(503);
  });

  test('is sent to the next start if the replica restarts meanwhile', async () => {
    let hasRestarted = false;
    const {clock, call, restart} = setUp(['a'], () =>
      hasRestarted ? 'answers' : 'times out',
    );
    const written = call('once');
    await clock.runFor(DIAL_MS / 2);
    hasRestarted = true;
    restart('a', 1);
    await clock.runFor(DIAL_MS);
    expect(written.status).toBe(200);
  });

  // A host without the process refuses at once.
  test('is refused at once when its port is closed', async () => {
    const {clock, call, dials} = setUp(['a'], () => 'is refused');
    const written = call('again');
    await clock.runFor(10 * ANSWER_MS);
    expect(written.status).toBe(503);
    expect(dials).toHaveLength(1);
  });
});

describe.each<[string, Service]>([
  ['an engine', 'pool'],
  ['a replica of a plain service', 'desk'],
])(
  'a stream to %s, the only one, whose host accepts no connection',
  (_, service) => {
    // Nothing had been sent, and the stream was refused after one attempt.
    test.each([
      ['resumable-stream', 1_200],
      ['resumable-stream', 2_500],
      ['once', 1_200],
      ['once', 2_500],
    ] as const)(
      'is whole as %s if it goes on after %i ms',
      async (kind, ms) => {
        const {clock, call} = setUp(
          ['a'],
          () => (clock.now() < ms ? 'times out' : 'answers'),
          service,
        );
        const written = call('long', undefined, {kind});
        await clock.runFor(ms + 2 * DIAL_MS);
        expect(written.status).toBe(200);
      },
    );

    test('is refused as not run when the replica is gone', async () => {
      const {clock, call, listed} = setUp(['a'], () => 'times out', service);
      const written = call('long');
      await clock.runFor(1_000);
      expect(written.status).toBe(0);
      listed([]);
      await clock.runFor(5_000);
      expect(written.status).toBe(503);
    });

    test('is refused as not run, and not sent once its caller has left', async () => {
      const {clock, call, dials} = setUp(['a'], () => 'times out', service);
      const written = call('stream');
      await clock.runFor(1_900);
      expect(written.status).toBe(0);
      expect(dials.length).toBeGreaterThan(4);
      await clock.runFor(3_000);
      expect(written.status).toBe(503);
      expect(dials.length).toBeLessThan(8);
    });

    test('is refused as not run while its caller may still ask elsewhere', async () => {
      const {clock, call} = setUp(['a'], () => 'times out', service);
      const written = call('long', 2_000);
      await clock.runFor(2_000);
      expect(written.status).toBe(503);
      expect(written.at).toBeLessThan(1_500);
    });

    test('goes to a replica that is listed meanwhile', async () => {
      const {clock, call, dials, listed} = setUp(
        ['a'],
        address => (address === 'a' ? 'times out' : 'answers'),
        service,
      );
      const written = call('long');
      await clock.runFor(1_000);
      listed(['a', 'b']);
      await clock.runFor(2 * DIAL_MS);
      expect([written.status, dials.at(-1)]).toEqual([200, 'b']);
    });

    // A host without the process refuses at once.
    // Guards against a stream that counts as possibly run though nothing was sent.
    test.each(['resumable-stream', 'once'] as const)(
      'is refused as not run when its time is up: %s',
      async kind => {
        const {clock, call} = setUp(['a'], () => 'times out', service);
        const written = call('long', DIAL_MS / 2, {kind});
        await clock.runFor(DIAL_MS);
        expect(written.status).toBe(503);
      },
    );

    test('is refused without a second attempt when its port is closed', async () => {
      const {clock, call, dials} = setUp(['a'], () => 'is refused', service);
      const written = call('long');
      await clock.runFor(5_000);
      expect(written.status).toBe(503);
      expect(dials).toHaveLength(1);
    });
  },
);

describe('a call beside a replica whose host accepts no connection', () => {
  test('goes to the other one first', async () => {
    const {clock, call, dials} = setUp(['a', 'b'], address =>
      address === dials[0] ? 'times out' : 'answers',
    );
    const written = call('once');
    await clock.runFor(2 * DIAL_MS);
    expect(written.status).toBe(200);
    expect(new Set(dials).size).toBe(2);
  });
});

describe('further attempts to connect', () => {
  test('end after three seconds, and at half of the time', () => {
    expect(mayDialAgain(2_999, 7_000)).toBe(true);
    expect(mayDialAgain(3_000, 7_000)).toBe(false);
    expect(mayDialAgain(900, 1_000)).toBe(true);
    expect(mayDialAgain(1_000, 1_000)).toBe(false);
  });
});
