import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import fc from 'fast-check';
import type {Arbitrary} from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {
  LocateRes,
  PeerMethod,
  RunDown,
  RunUp,
  SideHeartbeatReq,
  SideHeartbeatRes,
} from '../src/types/peer_messages.js';
import type {
  PeerHandlers,
  RunServerChannel,
  Transport,
} from '../src/types/transport.js';
import {CALL_CODECS} from '../src/wire/codec.js';
import {createGrpcTransport} from '../src/wire/grpc_transport.js';
import {createRecordedMetrics} from '../standins/recording_runtime.js';
import type {RecordedMetrics} from '../standins/recording_runtime.js';
import {createVirtualClock} from '../standins/virtual_clock.js';
import {
  CALL_ARBITRARIES,
  RUN_DOWN_ARBITRARY,
  RUN_UP_ARBITRARY,
} from './support/message_arbitraries.js';
import {
  closeAfterTest,
  listen,
  newTransport,
} from './support/grpc_transports.js';

const SEED = 20260101;
const TIMEOUT_MS = 10_000;

/** Forwards bytes to a peer. After `silence` it discards them. */
async function listenAsProxy(target: string) {
  const sockets = new Set<Socket>();
  const silenced = new Set<Socket>();
  const [ip, port] = target.split(':');
  const server = createServer(inward => {
    const outward = connect(Number(port), ip);
    const pass = (from: Socket, to: Socket): void => {
      from.on('data', data => {
        if (!silenced.has(inward)) to.write(data);
      });
      from.on('error', () => undefined);
      from.on('close', () => to.destroy());
    };
    pass(inward, outward);
    pass(outward, inward);
    sockets.add(inward);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closeAfterTest(async () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections: () => sockets.size,
    silence: () => {
      for (const socket of sockets) silenced.add(socket);
    },
  };
}

/** Opens a run whose frames are read one at a time with `next`. */
function openRun(transport: Transport, peer: string, fresh: boolean) {
  const channel = transport.openRun(peer, fresh);
  const frames: RunDown[] = [];
  let wake = (): void => undefined;
  void channel.frames.observe(frame => {
    frames.push(frame);
    wake();
  });
  const next = async (): Promise<RunDown | undefined> => {
    if (frames.length === 0) {
      await new Promise<void>(resolve => {
        wake = resolve;
      });
    }
    return frames.shift();
  };
  return {channel, next};
}

/** Converts buffers to plain byte arrays, so that they compare as equal. */
function withPlainBytes<T extends object>(frame: T): T {
  if (!('data' in frame)) return frame;
  return {...frame, data: Uint8Array.from(frame.data as Uint8Array)};
}

const METHODS = Object.keys(CALL_ARBITRARIES) as readonly PeerMethod[];

const HEARTBEAT: SideHeartbeatReq = {
  entry: 'entry-07',
  entryIncarnation: '8f14e45fceea167a',
  entryAddress: '10.20.30.40:7301',
  configNumber: 412,
  fence: 17,
  owned: [
    '0123456789abcdef0123456789abcdef.1',
    'fedcba9876543210fedcba9876543210.2',
  ],
};

const LOCATED: LocateRes = {
  state: 'none',
  dispatchId: '',
  nextSeq: 0,
  kind: 'call',
};

const HEARTBEAT_RES: SideHeartbeatRes = {
  node: 'side-123',
  incarnation: 'c9f0f895fb98ab91',
  pool: 'onyx-pool',
  failureDomain: 'hall-north',
  leaving: false,
  configNumber: 412,
  fence: 17,
  load: {
    capacityTokens: 500_000,
    freeTokens: 123_456,
    running: 12,
    queued: 3,
    prefillBacklogTokens: 234_567,
    shortBacklogTokens: 4_567,
    prefillTokensPerSec: 41_234.56,
    stepMs: 23.45,
    reportAgeMs: 812.5,
  },
  models: [
    {
      model: 'station-summary',
      version: '2026-05-01',
      adapters: ['frost'],
      ready: true,
      role: 'mixed',
    },
  ],
};

describe('calls over loopback', () => {
  it.each(METHODS)(
    'transfers any %s request and response unchanged',
    async method => {
      let seen: unknown;
      let next: unknown;
      const address = await listen({
        [method]: async (req: unknown) => {
          seen = req;
          return next;
        },
      } as PeerHandlers);
      const transport = newTransport();
      const {req, res} = CALL_ARBITRARIES[method] as {
        readonly req: Arbitrary<never>;
        readonly res: Arbitrary<never>;
      };
      await fc.assert(
        fc.asyncProperty(req, res, async (question, reply) => {
          next = reply;
          const got = await transport.call(
            address,
            method,
            question,
            TIMEOUT_MS,
          );
          expect(seen).toEqual(question);
          expect(got.extract()).toEqual(reply);
        }),
        {seed: SEED, numRuns: 50},
      );
    },
  );

  it('encodes a heartbeat and its answer in at most 160 bytes each', () => {
    const {req, res} = CALL_CODECS.sideHeartbeat;
    expect(req.encode(HEARTBEAT).length).toBeLessThanOrEqual(160);
    expect(res.encode(HEARTBEAT_RES).length).toBeLessThanOrEqual(160);
  });

  it('distinguishes a failed handler from a lost answer', async () => {
    const address = await listen({
      abandon: () => Promise.reject(new Error('no such dispatch')),
    });
    const req = {dispatchId: 'd.1', entry: 'e', incarnation: 'i'};
    const got = await newTransport().call(address, 'abandon', req, TIMEOUT_MS);
    const err = got.swap().unsafeCoerce();
    expect(err).toMatchObject({code: 'internal', peer: address});
    expect(err.message).toContain('no such dispatch');
  });
});

describe('a run over loopback', () => {
  it('transfers frames in order in both directions and ends at both ends', async () => {
    const up = fc.sample(RUN_UP_ARBITRARY, {seed: SEED, numRuns: 300});
    const down = fc.sample(RUN_DOWN_ARBITRARY, {seed: SEED, numRuns: 300});
    const atSide: RunUp[] = [];
    let sideEnded: Promise<unknown> = Promise.resolve();
    const serve = async (channel: RunServerChannel): Promise<void> => {
      sideEnded = channel.frames.observe(frame => {
        atSide.push(withPlainBytes(frame));
      });
      for (const frame of down) await channel.send(frame);
    };
    const address = await listen({run: channel => void serve(channel)});
    const channel = newTransport().openRun(address, false);
    const atEntry: RunDown[] = [];
    const got = channel.frames.take(down.length).observe(frame => {
      atEntry.push(withPlainBytes(frame));
    });
    for (const frame of up) await channel.send(frame);
    await got;
    expect(atEntry).toEqual(down);
    channel.close();
    await sideEnded;
    expect(atSide).toEqual(up);
  });

  it('limits a sender while nobody observes the frames', async () => {
    const opened: RunServerChannel[] = [];
    const address = await listen({run: channel => void opened.push(channel)});
    const channel = newTransport().openRun(address, false);
    const data = new Uint8Array(65_536);
    let sent = 0;
    const fill = async (): Promise<void> => {
      while (sent < 500) {
        await channel.send({kind: 'prompt', seq: sent, data});
        sent++;
      }
    };
    const filled = fill();
    // The calls give the sender enough event loop turns to send more.
    const idle = await listen({locate: async () => LOCATED});
    const transport = newTransport();
    for (let turn = 0; turn < 200; turn++) {
      const req = {requestId: 'r', organisation: 'o'};
      await transport.call(idle, 'locate', req, TIMEOUT_MS);
    }
    expect(sent).toBeLessThan(100);
    let got = 0;
    const all = opened[0].frames.take(500).observe(() => {
      got++;
    });
    await filled;
    await all;
    expect(got).toBe(500);
    channel.close();
  });
});

describe('faults of the connection', () => {
  it('reports that a call was not sent when nobody listens', async () => {
    const got = await newTransport().call(
      '127.0.0.1:1',
      'sideHeartbeat',
      HEARTBEAT,
      TIMEOUT_MS,
    );
    expect(got.swap().unsafeCoerce()).toMatchObject({
      code: 'peer-unreachable',
      step: 'heartbeat',
      peer: '127.0.0.1:1',
    });
  });

  it('reports an unknown outcome when the peer closes during a call', async () => {
    let arrived = (): void => undefined;
    const calls = new Promise<void>(resolve => {
      arrived = resolve;
    });
    const server = newTransport();
    const listener = await server.listen('127.0.0.1:0', {
      sideHeartbeat: () => {
        arrived();
        return new Promise(() => undefined);
      },
    });
    const call = newTransport().call(
      listener.address,
      'sideHeartbeat',
      HEARTBEAT,
      TIMEOUT_MS,
    );
    await calls;
    await listener.close();
    const err = (await call).swap().unsafeCoerce();
    expect(err).toMatchObject({code: 'timeout', peer: listener.address});
  });

  // A connection stays open but delivers nothing, so its calls time out.
  // Without a new connection every later call would time out as well.
  it('opens a new connection after two consecutive timeouts', async () => {
    const address = await listen({sideHeartbeat: async () => HEARTBEAT_RES});
    const proxy = await listenAsProxy(address);
    const transport = newTransport();
    const sendHeartbeat = async (timeoutMs: number): Promise<string> => {
      const got = await transport.call(
        proxy.address,
        'sideHeartbeat',
        HEARTBEAT,
        timeoutMs,
      );
      return got.caseOf({Left: err => err.code, Right: () => 'ok'});
    };
    expect(await sendHeartbeat(TIMEOUT_MS)).toBe('ok');
    proxy.silence();
    expect(await sendHeartbeat(50)).toBe('timeout');
    expect(await sendHeartbeat(50)).toBe('timeout');
    expect(await sendHeartbeat(TIMEOUT_MS)).toBe('ok');
    expect(proxy.connections()).toBe(2);
  });

  // A run on a silent connection opens again on a new one. Closing the old
  // connection would also abort the other runs on it.
  it('opens fresh runs on a new connection and aborts no other run', async () => {
    const address = await listen({
      run: channel => {
        void channel.frames.observe(() => void channel.send({kind: 'beat'}));
        void channel.send({kind: 'started'});
      },
    });
    const proxy = await listenAsProxy(address);
    const clock = createVirtualClock();
    const metrics = createRecordedMetrics();
    const transport = createGrpcTransport({clock, metrics});
    closeAfterTest(() => transport.close());
    const older = openRun(transport, proxy.address, false);
    expect(await older.next()).toEqual({kind: 'started'});

    clock.advance(1_000);
    const fresh = openRun(transport, proxy.address, true);
    const sharing = openRun(transport, proxy.address, true);
    expect(await fresh.next()).toEqual({kind: 'started'});
    expect(await sharing.next()).toEqual({kind: 'started'});
    expect(proxy.connections()).toBe(2);
    await older.channel.send({kind: 'beat'});
    expect(await older.next()).toEqual({kind: 'beat'});

    clock.advance(1_000);
    proxy.silence();
    const again = openRun(transport, proxy.address, true);
    expect(await again.next()).toEqual({kind: 'started'});
    expect(proxy.connections()).toBe(3);
  });
});

describe('bytes of peers', () => {
  it('are counted at both ends, separately for control and requests', async () => {
    const client = createRecordedMetrics();
    const server = createRecordedMetrics();
    const serving = newTransport(server);
    const address = await listen(
      {
        sideHeartbeat: async () => HEARTBEAT_RES,
        locate: async () => LOCATED,
      },
      serving,
    );
    const transport = newTransport(client);
    for (let beat = 0; beat < 20; beat++) {
      // Varies the entry, since a field equal to the previous one is omitted.
      const entry = `${beat}`.padStart(140, 'e');
      const req = {...HEARTBEAT, entry};
      await transport.call(address, 'sideHeartbeat', req, TIMEOUT_MS);
    }
    const req = {requestId: 'r', organisation: 'o'};
    await transport.call(address, 'locate', req, TIMEOUT_MS);
    await transport.close();
    await serving.close();
    const bytes = (at: RecordedMetrics, kind: string, direction: string) =>
      at.total('onyxloft_peer_bytes_total', {kind, direction});
    const control = bytes(client, 'control', 'out');
    expect(control).toBeGreaterThan(20 * 140);
    expect(bytes(client, 'request', 'out')).toBeLessThan(20 * 140);
    // Both ends count the same bytes, except for frames of the connection
    // itself that are still in transit.
    for (const kind of ['control', 'request']) {
      const sent = bytes(client, kind, 'out');
      const answered = bytes(server, kind, 'out');
      expect(Math.abs(bytes(server, kind, 'in') - sent)).toBeLessThan(100);
      expect(Math.abs(bytes(client, kind, 'in') - answered)).toBeLessThan(100);
    }
  });
});
