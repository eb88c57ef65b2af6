/**
 * Datagrams between entries: their types, encoding and validation. A datagram
 * may come from another program or from another version of this one. One that
 * is not valid in every part is dropped, just as if it had been lost. Without
 * this check, a value that is not a number would spread into every choice of an
 * engine.
 */
import {isIPv4} from 'node:net';
import {
  Codec,
  array,
  boolean,
  exactly,
  number,
  optional,
  string,
} from 'purify-ts/Codec';
import {Maybe, Nothing} from 'purify-ts/Maybe';
import {crashReportCodec, isValidReport} from './crashes/crash_reports.js';
import type {CrashReport} from './crashes/crash_reports.js';
import {
  isValidAnswer as isValidPermitAnswer,
  isValidAsk,
  isValidLimit,
  limitReportCodec,
  permitAnswerCodec,
  permitAskCodec,
} from './limits/limit_messages.js';
import type {
  LimitReport,
  PermitAnswer,
  PermitAsk,
} from './limits/limit_messages.js';
import type {ReplicaLoad} from './replica_load.js';
import {isValidShareReport, shareReportCodec} from './shares/share_messages.js';
import type {ShareReport} from './shares/share_messages.js';
import {packLoads, unpackLoads} from './load_codec.js';
import {
  decodeCompactLoad,
  encodeCompactLoad,
  isAddress,
  isCompact,
} from './peers/compact_load.js';
import type {CompactLoadDatagram} from './peers/compact_load.js';
import type {EntryAddress, StoreKnowledge} from './types.js';
import {parseBoundedJson} from '../utils/bounded_json.js';

/** Characters of the longest valid name of an entry. */
const MAX_NODE_LENGTH = 1_000;

/** The complete load that an entry has assigned. */
export interface LoadDatagram {
  readonly kind: 'load';
  readonly from: EntryAddress;
  /** Sequence number; grows with each load datagram of one incarnation. */
  readonly seq: number;
  readonly loads: readonly ReplicaLoad[];
}

/** Asks a peer what it knows about the store. */
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

/** Reports of requests that may crash replicas. */
export interface CrashDatagram {
  readonly kind: 'crashes';
  readonly reports: readonly CrashReport[];
}

/** Request limits that replicas named. */
export interface LimitsDatagram {
  readonly kind: 'limits';
  readonly reports: readonly LimitReport[];
}

/** Asks the home of a replica for permits. */
export interface PermitAskDatagram {
  readonly kind: 'permit-ask';
  readonly from: EntryAddress;
  readonly ask: PermitAsk;
}

export interface PermitAnswerDatagram {
  readonly kind: 'permit-answer';
  readonly answer: PermitAnswer;
}

/** Engine time that organisations wanted and used at an entry. */
export interface SharesDatagram {
  readonly kind: 'shares';
  readonly report: ShareReport;
}

export type Datagram =
  | LoadDatagram
  | CompactLoadDatagram
  | AskDatagram
  | AnswerDatagram
  | CrashDatagram
  | LimitsDatagram
  | PermitAskDatagram
  | PermitAnswerDatagram
  | SharesDatagram;

export const entryAddressCodec = Codec.interface({
  node: string,
  incarnation: string,
  ip: string,
  port: number,
  failureDomain: optional(string),
  grantsPermits: optional(boolean),
  loadFormat: optional(number),
  readsShares: optional(boolean),
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
    /** Undefined from entries of earlier versions, which do not send it. */
    era: optional(number),
    evidenceAgeMs: optional(number),
    /** Undefined from entries of earlier versions, which do not send it. */
    evidenceSource: optional(string),
    configVersion: optional(number),
    replicasDigest: string,
    /** Undefined from entries that do not follow evacuations. */
    evacuationsDigest: optional(string),
  }),
});
const crashCodec = Codec.interface({
  kind: exactly('crashes'),
  reports: array(crashReportCodec),
});
const limitsCodec = Codec.interface({
  kind: exactly('limits'),
  reports: array(limitReportCodec),
});
const permitAskDatagramCodec = Codec.interface({
  kind: exactly('permit-ask'),
  from: entryAddressCodec,
  ask: permitAskCodec,
});
const permitAnswerDatagramCodec = Codec.interface({
  kind: exactly('permit-answer'),
  answer: permitAnswerCodec,
});
const sharesCodec = Codec.interface({
  kind: exactly('shares'),
  report: shareReportCodec,
});
const loadHeadCodec = Codec.interface({
  kind: exactly('load'),
  from: entryAddressCodec,
  seq: number,
});

export function encodeDatagram(datagram: Datagram): Buffer {
  if (datagram.kind === 'compact-load') return encodeCompactLoad(datagram);
  const wire =
    datagram.kind === 'load'
      ? {...datagram, loads: packLoads(datagram.loads)}
      : datagram;
  return Buffer.from(JSON.stringify(wire));
}

/** Returns Nothing when the bytes are not a valid datagram between entries. */
export function decodeDatagram(bytes: Buffer): Maybe<Datagram> {
  if (isCompact(bytes)) {
    return decodeCompactLoad(bytes).filter(
      ({from}) => !isAddress(from) || isEntryAddress(from),
    );
  }
  return parseJsonObject(bytes).chain((value): Maybe<Datagram> => {
    const {kind} = value;
    if (kind === 'load') return decodeLoad(value);
    if (kind === 'ask') {
      return askCodec
        .decode(value)
        .toMaybe()
        .filter(({from}) => isEntryAddress(from));
    }
    if (kind === 'limits') {
      return limitsCodec
        .decode(value)
        .toMaybe()
        .filter(({reports}) => reports.every(isValidLimit));
    }
    if (kind === 'permit-ask') {
      return permitAskDatagramCodec
        .decode(value)
        .toMaybe()
        .filter(({from, ask}) => isEntryAddress(from) && isValidAsk(ask));
    }
    if (kind === 'permit-answer') {
      return permitAnswerDatagramCodec
        .decode(value)
        .toMaybe()
        .filter(({answer}) => isValidPermitAnswer(answer));
    }
    if (kind === 'shares') {
      return sharesCodec
        .decode(value)
        .toMaybe()
        .filter(({report}) => isValidShareReport(report));
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
    .filter(({from, seq}) => isEntryAddress(from) && Number.isSafeInteger(seq))
    .chain(head =>
      unpackLoads(value['loads']).map(loads => ({...head, loads})),
    );
}

/** Rejects negative ages, since evidence cannot come from the future. */
function isValidAnswer({knowledge: {evidenceAgeMs}}: AnswerDatagram): boolean {
  return evidenceAgeMs === undefined || evidenceAgeMs >= 0;
}

/**
 * Whether the address is complete and valid, so that datagrams may be sent to
 * it.
 */
export function isEntryAddress({node, ip, port}: EntryAddress): boolean {
  const isPort = Number.isInteger(port) && port > 0 && port < 65_536;
  return isNodeName(node) && isIPv4(ip) && isPort;
}

/** A name is part of a path, where one of dots means another object. */
function isNodeName(node: string): boolean {
  const isDots = node === '.' || node === '..';
  return node !== '' && !isDots && node.length <= MAX_NODE_LENGTH;
}

function parseJsonObject(
  bytes: Buffer,
): Maybe<Readonly<Record<string, unknown>>> {
  return parseBoundedJson(bytes.toString('utf8'))
    .toMaybe()
    .chain(value =>
      typeof value === 'object' && value !== null
        ? Maybe.of(value as Readonly<Record<string, unknown>>)
        : Nothing,
    );
}
