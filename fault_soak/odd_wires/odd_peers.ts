/**
 * Odd datagrams to entries, and a false peer that is announced in the store: it
 * takes what entries send it, and hands odd answers over.
 */
import {createSocket} from 'node:dgram';
import {freeAddresses} from '../../demo/free_addresses.js';
import {
  LOAD_FORMAT,
  encodeCompactLoad,
} from '../../src/direct/peers/compact_load.js';
import {shortHash} from '../../src/direct/peers/short_hash.js';
import {changeText} from './draws.js';
import type {Draw} from './draws.js';
import {drawAnswer} from './odd_answers.js';
import {plainAnswer} from './odd_replica.js';
import {startOddServer} from './odd_server.js';

export const FALSE_PEER = 'false-peer';
const LONGEST_BYTES = 60_000;
const CHANGED_SHARE = 0.7;
const RANDOM_SHARE = 0.15;

/** None of them is a valid one: a peer that lies isn't odd. */
const HANDED_OVER = [
  '',
  'null',
  '{}',
  '[null]',
  '[[]]',
  '[{"id":1}]',
  '[{"id":"x","name":"x","startedAt":1e400,"service":"x"}]',
  '{"version":1e400,"routes":[],"services":[],"keys":null}',
  '{"version":"1","routes":{},"services":{},"keys":{},"limits":null}',
  '{"version":99,"routes":[{"name":"x"}],"services":[null],"keys":[]}',
  `${'['.repeat(40_000)}${']'.repeat(40_000)}`,
  `{"version":${'['.repeat(40_000)}`,
  '\u0000\u00ff',
];

export interface FalsePeer {
  /** As it is announced. */
  readonly record: object;
  /** Datagrams that entries sent it. */
  readonly received: () => number;
  send(address: string): void;
  close(): Promise<void>;
}

/** `replicas` are ids whose loads and limits it tells; no sound ones. */
export async function startFalsePeer(
  draw: Draw,
  replicas: readonly string[],
  isOdd: () => boolean,
): Promise<FalsePeer> {
  const [address] = await freeAddresses(1);
  const [ip, port] = [address.split(':')[0], Number(address.split(':')[1])];
  const server = await startOddServer(
    ip,
    () =>
      isOdd()
        ? drawAnswer(draw, {
            lines: [],
            body: draw.one(HANDED_OVER),
            mayStall: true,
          })
        : plainAnswer([], '', 404),
    port,
  );
  const socket = createSocket('udp4');
  let received = 0;
  socket.on('message', () => received++);
  // Loopback refuses those to an entry that is gone.
  socket.on('error', () => undefined);
  await new Promise<void>(resolve => {
    socket.bind(port, ip, resolve);
  });
  const record = {
    node: FALSE_PEER,
    incarnation: '1',
    ip,
    port,
    failureDomain: 'domain-1',
    loadFormat: LOAD_FORMAT,
  };
  return {
    record,
    received: () => received,
    send: to => {
      const [toIp, toPort] = to.split(':');
      const bytes = drawDatagram(draw, record, draw.one(replicas));
      socket.send(bytes, Number(toPort), toIp, () => undefined);
    },
    close: async () => {
      socket.close();
      await server.close();
    },
  };
}

type PeerRecord = Parameters<typeof encodeCompactLoad>[0]['from'];

function drawDatagram(draw: Draw, from: object, replica: string): Buffer {
  const length = draw.chance(0.05) ? LONGEST_BYTES : 80;
  if (draw.chance(RANDOM_SHARE)) {
    return Buffer.from(draw.bytes(draw.below(length)), 'latin1');
  }
  if (draw.chance(0.25)) {
    const bytes = Buffer.from(compactLoad(draw, from as PeerRecord, replica));
    for (let times = draw.below(3); times > 0; times--) {
      bytes[draw.below(bytes.length)] = draw.below(256);
    }
    return draw.chance(0.2) ? bytes.subarray(0, draw.below(40)) : bytes;
  }
  const text = JSON.stringify(draw.one(validOnes(draw, from, replica)));
  const isChanged = draw.chance(CHANGED_SHARE);
  return Buffer.from(isChanged ? changeText(draw, text) : text, 'latin1');
}

function compactLoad(draw: Draw, from: PeerRecord, replica: string): Buffer {
  const number = () => draw.one([0, 1, 17, 1e6, 2 ** 40, Infinity]);
  return encodeCompactLoad({
    kind: 'compact-load',
    from,
    grantsPermits: draw.chance(0.5),
    seq: draw.below(1e9),
    isWhole: draw.chance(0.5),
    loads: Array.from({length: draw.below(4)}, () => ({
      replicaId: shortHash(replica),
      running: number(),
      tokens: number(),
      readMs: number(),
      readers: [{slackMs: -number(), marginMs: number(), weight: number()}],
      writers: [{pauseAimMs: number(), weight: number()}],
    })),
  });
}

/** One of each kind that entries send each other as text. */
function validOnes(draw: Draw, from: object, replica: string): object[] {
  const number = draw.one([0, 1, 2, 4, 999, 2 ** 31, 2 ** 53]);
  const cold = {name: replica, leftMs: number, ageMs: 1, perSecond: 4};
  const limit = {replicaId: replica, perSecond: number, ageMs: number, cold};
  const digest = '0123456789abcdef'.repeat(2);
  const times = {wantedMs: number, usedMs: 4};
  const urgency = {urgency: 3, asked: number, placed: 1, gained: 2};
  const service = {
    service: 'odd-pool',
    named: [['org-1', number, 5]],
    rest: {...times, count: 2},
    byUrgency: [urgency],
  };
  const knowledge = {
    era: 1,
    evidenceAgeMs: 30_000 + number,
    evidenceSource: FALSE_PEER,
    configVersion: 1,
    replicasDigest: digest,
    evacuationsDigest: digest,
  };
  const load = [replica, number, 5, 6, [[1, 2, number]], [[-1, 3]]];
  return [
    {kind: 'load', from, seq: number, loads: [load]},
    {kind: 'ask', from, question: number},
    {kind: 'answer', question: number, knowledge},
    {
      kind: 'crashes',
      reports: [
        {digest, position: number, ended: [replica], good: {[FALSE_PEER]: 1}},
      ],
    },
    {kind: 'limits', reports: [limit]},
    {
      kind: 'permit-ask',
      from,
      ask: {id: number, limit, count: 1, urgency: number},
    },
    {
      kind: 'permit-answer',
      answer: {askId: number, isGranted: true, retryAfterMs: number, limit},
    },
    {kind: 'shares', report: {node: FALSE_PEER, services: [service]}},
  ];
}
