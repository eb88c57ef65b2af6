/**
 * Sends datagrams to peers: to one by name, to a random live one, or to all
 * that match. Counts the bytes by kind, and by whether they leave the failure
 * domain.
 */
import type {Clock, Metrics, Random} from '../../types/runtime.js';
import type {CrashReport} from '../crashes/crash_reports.js';
import {encodeDatagram} from '../datagrams.js';
import type {Datagram} from '../datagrams.js';
import type {LimitAudience, LimitReport} from '../limits/limit_messages.js';
import type {EntryAddress} from '../types.js';
import type {DatagramSender} from './datagram_socket.js';
import type {PeerTable} from './peer_table.js';

/**
 * Crash reports that fit into one datagram; more are split over several
 * datagrams.
 */
const MAX_REPORTS_PER_DATAGRAM = 4;
/**
 * Delays after which a report of several crashes is sent again, in
 * milliseconds, because a datagram may be lost.
 */
const CRASH_REPORT_RESEND_DELAYS_MS = [100, 400];

/** Whether the entry is of a version that knows of request limits. */
function readsLimits({grantsPermits}: EntryAddress): boolean {
  return grantsPermits !== undefined;
}

export interface OutgoingOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly socket: DatagramSender;
  readonly peers: PeerTable;
}

export interface Outgoing {
  sendBytes(
    bytes: Buffer,
    to: readonly EntryAddress[],
    kind: Datagram['kind'],
  ): void;
  sendTo(datagram: Datagram, to: EntryAddress): void;
  /** Sends to the peer of this name, if it is known. */
  sendToNode(datagram: Datagram, node: string): void;
  sendCrashReports(reports: readonly CrashReport[], toAll: boolean): void;
  sendLimitReports(reports: readonly LimitReport[], to: LimitAudience): void;
  /** Nothing is sent from now on. */
  stop(): void;
}

export function createOutgoing(options: OutgoingOptions): Outgoing {
  const {clock, metrics, random, socket, peers} = options;
  let isStopped = false;

  const sendBytes: Outgoing['sendBytes'] = (bytes, to, kind) => {
    if (isStopped) return;
    for (const {ip, port} of to) socket.send(bytes, port, ip, () => undefined);
    const own = to.filter(peers.isSameDomain).length;
    countBytes(kind, 'own', bytes.length * own);
    countBytes(kind, 'other', bytes.length * (to.length - own));
  };
  const countBytes = (
    kind: Datagram['kind'],
    domain: 'own' | 'other',
    bytes: number,
  ): void => {
    const labels = {kind, domain};
    if (bytes > 0) metrics.count('onyxloft_sharing_bytes_total', labels, bytes);
  };
  const sendTo = (datagram: Datagram, to: EntryAddress): void =>
    sendBytes(encodeDatagram(datagram), [to], datagram.kind);
  const sendToAll = (
    datagram: Datagram,
    matches: (entry: EntryAddress) => boolean,
  ): void => {
    const to = peers.all().map(({entry}) => entry);
    sendBytes(encodeDatagram(datagram), to.filter(matches), datagram.kind);
  };
  /** Sends to a random one of the peers that are alive and match. */
  const sendToOne = (
    datagram: Datagram,
    matches: (entry: EntryAddress) => boolean,
  ): void => {
    const live = peers.live().map(({entry}) => entry);
    const to = live.filter(matches);
    if (to.length === 0) return;
    sendTo(datagram, to[Math.floor(random.next() * to.length)]);
  };
  const sendToNode = (datagram: Datagram, node: string): void => {
    const peer = peers.get(node);
    if (peer !== undefined) sendTo(datagram, peer.entry);
  };
  const sendCrashReportsToAll = (reports: readonly CrashReport[]): void => {
    for (let at = 0; at < reports.length; at += MAX_REPORTS_PER_DATAGRAM) {
      const batch = reports.slice(at, at + MAX_REPORTS_PER_DATAGRAM);
      sendToAll({kind: 'crashes', reports: batch}, () => true);
    }
  };

  return {
    sendBytes,
    sendTo,
    sendToNode,
    sendCrashReports: (reports, toAll) => {
      if (!toAll) return sendToOne({kind: 'crashes', reports}, () => true);
      sendCrashReportsToAll(reports);
      const repeatedCrashes = reports.filter(({ended}) => ended.length > 1);
      if (repeatedCrashes.length === 0) return;
      for (const delayMs of CRASH_REPORT_RESEND_DELAYS_MS)
        clock.after(delayMs, () => sendCrashReportsToAll(repeatedCrashes));
    },
    sendLimitReports: (reports, to) => {
      const datagram: Datagram = {kind: 'limits', reports};
      if (to === 'one') return sendToOne(datagram, readsLimits);
      if (to !== 'all') return sendToNode(datagram, to.node);
      return sendToAll(datagram, readsLimits);
    },
    stop: () => {
      isStopped = true;
    },
  };
}
