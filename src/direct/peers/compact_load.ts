/**
 * The compact format of a load datagram. An entry sends its load to every other
 * entry, and in JSON the names of replicas, the sender's address and the digits
 * of numbers take most of the bytes.
 *
 * A datagram starts with a byte that no text has, and the version of the
 * format. Replicas are named by the hashes of their ids. The sender is named by
 * the hashes of its name and its incarnation, or by its address in datagrams to
 * peers that may not know it. Bytes that are not valid in every part are
 * rejected as a whole, as with the other datagrams.
 */
import {Just, Nothing} from 'purify-ts/Maybe';
import type {Maybe} from 'purify-ts/Maybe';
import {mergeLoads} from '../replica_load.js';
import type {
  DecodingGroup,
  PeerLoad,
  PrefillingRequest,
  ReplicaLoad,
} from '../replica_load.js';
import type {EntryAddress} from '../types.js';
import {createByteReader, createByteWriter} from './byte_codec.js';
import type {ByteReader, ByteWriter} from './byte_codec.js';
import {shortHash} from './short_hash.js';

/** Version of the format that this program writes and reads. */
export const LOAD_FORMAT = 1;
/** First byte of the format. It is in no UTF-8 text, and so in no JSON text. */
const FIRST_BYTE = 0xc1;
/** Bits of the second byte, below the version. */
const HAS_ADDRESS = 1;
const GRANTS_PERMITS = 2;
const IS_WHOLE = 4;
const HAS_DOMAIN = 8;
const VERSION_FACTOR = 16;
/** Stands for a sender that reads only JSON. */
const NO_FORMAT = 0;
/** Memory in use is rounded to multiples of this number of tokens. */
const TOKENS_UNIT = 16;
/**
 * Most replicas in one datagram. If there are more, those with the most
 * requests are sent. An entry of the largest fleet has work at up to 100 of 600
 * replicas.
 */
export const MAX_LOADS = 500;
/**
 * Most requests in prefill, and most groups in decode, of one entry at one
 * replica. Replicas have up to 11 slots, and few of them are one entry's. With
 * the bound on replicas it keeps a datagram below the 64 KB of UDP.
 */
const MAX_GROUPS = 8;
/** Bits for the number of groups of one kind. */
const GROUPS_FACTOR = 16;

/** Identifies a sender that the receiver knows. */
export interface SenderHash {
  readonly node: number;
  readonly incarnation: number;
}

/** A load datagram in the compact format. */
export interface CompactLoadDatagram {
  readonly kind: 'compact-load';
  /** The sender, or its address where the receiver may not know it. */
  readonly from: SenderHash | EntryAddress;
  /** See `EntryAddress`. */
  readonly grantsPermits: boolean;
  /** Sequence number; see `LoadDatagram`. */
  readonly seq: number;
  /**
   * Whether these are all loads of the sender. Otherwise the loads of replicas
   * that are not listed have not changed, and a load without any request means
   * that nothing is left there.
   */
  readonly isWhole: boolean;
  readonly loads: readonly PeerLoad[];
}

export function senderHashOf({node, incarnation}: EntryAddress): SenderHash {
  return {node: shortHash(node), incarnation: shortHash(incarnation)};
}

export function isAddress(
  from: CompactLoadDatagram['from'],
): from is EntryAddress {
  return 'ip' in from;
}

/**
 * The loads with the hashes of replicas in place of their ids. Loads of two
 * replicas with the same hash are added up, so that no work is left out: until
 * one of the two is gone, both seem to have the work of both.
 */
export function hashedLoads(
  loads: readonly ReplicaLoad[],
): ReadonlyMap<number, PeerLoad> {
  const byHash = new Map<number, PeerLoad>();
  for (const load of loads) {
    const hash = shortHash(load.replicaId);
    const same = byHash.get(hash);
    const merged = same === undefined ? load : mergeLoads(same, load);
    byHash.set(hash, {...merged, replicaId: hash});
  }
  return byHash;
}

/** Whether the bytes are in a compact format, of whatever version. */
export function isCompact(bytes: Buffer): boolean {
  return bytes[0] === FIRST_BYTE;
}

/** The loads must name replicas by hashes; see `hashedLoads`. */
export function encodeCompactLoad(datagram: CompactLoadDatagram): Buffer {
  const {from, grantsPermits, seq, isWhole} = datagram;
  const writer = createByteWriter();
  const hasAddress = isAddress(from);
  const hasDomain = hasAddress && from.failureDomain !== undefined;
  writer.byte(FIRST_BYTE);
  writer.byte(
    LOAD_FORMAT * VERSION_FACTOR +
      (hasAddress ? HAS_ADDRESS : 0) +
      (grantsPermits ? GRANTS_PERMITS : 0) +
      (isWhole ? IS_WHOLE : 0) +
      (hasDomain ? HAS_DOMAIN : 0),
  );
  if (hasAddress) {
    writeAddress(writer, from);
  } else {
    writer.uint32(from.node);
    writer.uint32(from.incarnation);
  }
  writer.variable(seq);
  const loads = mostLoaded(datagram.loads);
  writer.variable(loads.length);
  for (const load of loads) writeLoad(writer, load);
  return writer.toBuffer();
}

/** Returns Nothing when the bytes are not a valid datagram of this format. */
export function decodeCompactLoad(bytes: Buffer): Maybe<CompactLoadDatagram> {
  const reader = createByteReader(bytes);
  const first = reader.byte();
  const second = reader.byte();
  const version = Math.floor(second / VERSION_FACTOR);
  if (first !== FIRST_BYTE || version !== LOAD_FORMAT) return Nothing;
  const has = (flag: number) => (second & flag) !== 0;
  const grantsPermits = has(GRANTS_PERMITS);
  const from = has(HAS_ADDRESS)
    ? readAddress(reader, has(HAS_DOMAIN), grantsPermits)
    : {node: reader.uint32(), incarnation: reader.uint32()};
  const seq = reader.variable();
  const count = reader.variable();
  if (count > MAX_LOADS) return Nothing;
  const loads: PeerLoad[] = [];
  while (loads.length < count && !reader.hasFailed())
    loads.push(readLoad(reader));
  const isWhole = has(IS_WHOLE);
  return reader.isComplete()
    ? Just({kind: 'compact-load', from, grantsPermits, seq, isWhole, loads})
    : Nothing;
}

function writeAddress(writer: ByteWriter, address: EntryAddress): void {
  const {node, incarnation, ip, port, failureDomain, loadFormat} = address;
  writer.text(node);
  writer.text(incarnation);
  writer.text(ip);
  writer.variable(port);
  writer.variable(loadFormat ?? NO_FORMAT);
  writer.byte(address.readsShares === true ? 1 : 0);
  if (failureDomain !== undefined) writer.text(failureDomain);
}

function readAddress(
  reader: ByteReader,
  hasDomain: boolean,
  grantsPermits: boolean,
): EntryAddress {
  const node = reader.text();
  const incarnation = reader.text();
  const ip = reader.text();
  const port = reader.variable();
  const format = reader.variable();
  const readsShares = reader.byte() === 1 ? true : undefined;
  const failureDomain = hasDomain ? reader.text() : undefined;
  const loadFormat = format === NO_FORMAT ? undefined : format;
  return {
    node,
    incarnation,
    ip,
    port,
    failureDomain,
    grantsPermits,
    loadFormat,
    readsShares,
  };
}

function writeLoad(writer: ByteWriter, load: PeerLoad): void {
  const readers = boundedReaders(load.readers);
  const writers = boundedWriters(load.writers);
  writer.uint32(Number(load.replicaId));
  writer.variable(load.running);
  writer.variable(load.tokens / TOKENS_UNIT);
  writer.variable(load.readMs);
  writer.byte(readers.length * GROUPS_FACTOR + writers.length);
  for (const {slackMs, marginMs, weight} of readers) {
    writer.signed(slackMs);
    writer.variable(marginMs);
    writer.weight(weight);
  }
  for (const {pauseAimMs, weight} of writers) {
    // 0 means that there is no pause objective.
    writer.variable(Number.isFinite(pauseAimMs) ? pauseAimMs + 1 : 0);
    writer.weight(weight);
  }
}

function readLoad(reader: ByteReader): PeerLoad {
  const replicaId = reader.uint32();
  const running = reader.variable();
  const tokens = reader.variable() * TOKENS_UNIT;
  const readMs = reader.variable();
  const counts = reader.byte();
  const readers: PrefillingRequest[] = [];
  for (let left = Math.floor(counts / GROUPS_FACTOR); left > 0; left--) {
    const slackMs = reader.signed();
    const marginMs = reader.variable();
    readers.push({slackMs, marginMs, weight: reader.weight()});
  }
  const writers: DecodingGroup[] = [];
  for (let left = counts % GROUPS_FACTOR; left > 0; left--) {
    const pauseAimMs = readPauseAim(reader);
    writers.push({pauseAimMs, weight: reader.weight()});
  }
  return {replicaId, running, tokens, readMs, readers, writers};
}

function readPauseAim(reader: ByteReader): number {
  const value = reader.variable();
  return value === 0 ? Infinity : value - 1;
}

function mostLoaded(loads: readonly PeerLoad[]): readonly PeerLoad[] {
  return loads.length <= MAX_LOADS
    ? loads
    : [...loads].sort((a, b) => b.running - a.running).slice(0, MAX_LOADS);
}

/**
 * At most `MAX_GROUPS` requests. Of more, the heaviest are kept, and the others
 * become one with the sum of their weights and the means of their times.
 */
function boundedReaders(
  readers: readonly PrefillingRequest[],
): readonly PrefillingRequest[] {
  if (readers.length <= MAX_GROUPS) return readers;
  const [kept, rest] = heaviestAndRest(readers);
  const weight = weightSum(rest);
  const meanOf = (value: (reader: PrefillingRequest) => number) =>
    rest.reduce((sum, it) => sum + value(it) * it.weight, 0) /
    Math.max(1, weight);
  const slackMs = meanOf(it => it.slackMs);
  const marginMs = meanOf(it => it.marginMs);
  return [...kept, {slackMs, marginMs, weight}];
}

/**
 * The same for groups of requests in decode. The merged group has the shortest
 * of the pause objectives.
 */
function boundedWriters(
  writers: readonly DecodingGroup[],
): readonly DecodingGroup[] {
  if (writers.length <= MAX_GROUPS) return writers;
  const [kept, rest] = heaviestAndRest(writers);
  const pauseAimMs = Math.min(...rest.map(it => it.pauseAimMs));
  return [...kept, {pauseAimMs, weight: weightSum(rest)}];
}

function heaviestAndRest<T extends {readonly weight: number}>(
  items: readonly T[],
): readonly [readonly T[], readonly T[]] {
  const sorted = [...items].sort((a, b) => b.weight - a.weight);
  return [sorted.slice(0, MAX_GROUPS - 1), sorted.slice(MAX_GROUPS - 1)];
}

function weightSum(items: readonly {readonly weight: number}[]): number {
  return items.reduce((sum, {weight}) => sum + weight, 0);
}
