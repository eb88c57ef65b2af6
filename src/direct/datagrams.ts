/**
 * Datagrams between entries, and how they are read. A datagram may come from
 * another program or another version: what is not understood whole is dropped,
 * as a lost one would be. Taken as it came, a number that is none would spread
 * into every choice of an engine.
 */
import {isIPv4} from 'node:net';
import {Codec, array, exactly, number, optional, string} from 'purify-ts/Codec';
import {Maybe, Nothing} from 'purify-ts/Maybe';
import {crashReportCodec, isValidReport} from './crash_reports.js';
import type {CrashReport} from './crash_reports.js';
import type {ReplicaLoad} from './replica_load.js';
import {packLoads, unpackLoads} from './load_codec.js';
import type {EntryAddress, StoreKnowledge} from './types.js';

/** What an entry has assigned. */
export interface LoadDatagram {
  readonly kind: 'load';
  readonly from: EntryAddress;
  /** Grows with each datagram of one incarnation. */
  readonly seq: number;
  readonly loads: readonly ReplicaLoad[];
}

/** What does the other entry know of the store? */
export interface AskDatagram {
  readonly kind: 'ask';
  readonly from: EntryAddress;
  readonly question: number;
}

export interface AnswerDatagram {
  readonly kind: 'answer';
  readonly question: number;
  readonly knowledge: StoreKnowledge;
}

/** Requests that may crash replicas. */
export interface CrashDatagram {
  readonly kind: 'crashes';
  readonly reports: readonly CrashReport[];
}

export type Datagram =
  LoadDatagram | AskDatagram | AnswerDatagram | CrashDatagram;

export const entryAddressCodec = Codec.interface({
  node: string,
  incarnation: string,
  ip: string,
  port: number,
  failureDomain: optional(string),
});
const askCodec = Codec.interface({
  kind: exactly('ask'),
  from: entryAddressCodec,
  question: number,
});
const answerCodec = Codec.interface({
  kind: exactly('answer'),
  question: number,
  knowledge: Codec.interface({
    /** Not told by earlier versions. */
    era: optional(number),
    evidenceAgeMs: optional(number),
    configVersion: optional(number),
    replicasDigest: string,
  }),
});
const crashCodec = Codec.interface({
  kind: exactly('crashes'),
  reports: array(crashReportCodec),
});
const loadHeadCodec = Codec.interface({
  kind: exactly('load'),
  from: entryAddressCodec,
  seq: number,
});

export function encodeDatagram(datagram: Datagram): Buffer {
  const wire =
    datagram.kind === 'load'
      ? {...datagram, loads: packLoads(datagram.loads)}
      : datagram;
  return Buffer.from(JSON.stringify(wire));
}

/** Nothing when the bytes are no datagram between entries. */
export function decodeDatagram(bytes: Buffer): Maybe<Datagram> {
  return parseJsonObject(bytes).chain((value): Maybe<Datagram> => {
    const {kind} = value;
    if (kind === 'load') return decodeLoad(value);
    if (kind === 'ask') {
      return askCodec
        .decode(value)
        .toMaybe()
        .filter(({from}) => isEntryAddress(from));
    }
    if (kind === 'crashes') {
      return crashCodec
        .decode(value)
        .toMaybe()
        .filter(({reports}) => reports.every(isValidReport));
    }
    return answerCodec.decode(value).toMaybe().filter(isValidAnswer);
  });
}

function decodeLoad(value: Readonly<Record<string, unknown>>) {
  return loadHeadCodec
    .decode(value)
    .toMaybe()
    .filter(({from}) => isEntryAddress(from))
    .chain(head =>
      unpackLoads(value['loads']).map(loads => ({...head, loads})),
    );
}

/** Ages are never negative: evidence cannot come from the future. */
function isValidAnswer({knowledge: {evidenceAgeMs}}: AnswerDatagram): boolean {
  return evidenceAgeMs === undefined || evidenceAgeMs >= 0;
}

/** Whether datagrams may be sent there. */
export function isEntryAddress({node, ip, port}: EntryAddress): boolean {
  const isPort = Number.isInteger(port) && port > 0 && port < 65_536;
  return node !== '' && isIPv4(ip) && isPort;
}

function parseJsonObject(
  bytes: Buffer,
): Maybe<Readonly<Record<string, unknown>>> {
  return Maybe.encase(
    () => JSON.parse(bytes.toString('utf8')) as unknown,
  ).chain(value =>
    typeof value === 'object' && value !== null
      ? Maybe.of(value as Readonly<Record<string, unknown>>)
      : Nothing,
  );
}
