/**
 * Encodes an entry's load for its peers: in the compact format for peers that
 * read it, in JSON for the others. A compact datagram names its sender by a
 * hash. It contains the sender's address for peers that were found a moment
 * ago, and every few seconds for each peer.
 */
import type {Clock} from '../../types/runtime.js';
import {encodeDatagram} from '../datagrams.js';
import type {Datagram} from '../datagrams.js';
import type {ReplicaLoad} from '../replica_load.js';
import type {EntryAddress} from '../types.js';
import {LOAD_FORMAT, senderHashOf} from './compact_load.js';
import type {CompactReport} from './load_deltas.js';
import type {Peer} from './peer_table.js';

/**
 * The first datagrams to a peer that contain the address; several, because a
 * datagram may be lost.
 */
const FIRST_ADDRESSES = 3;
/**
 * Time after which the address is sent to a peer again, in milliseconds. A peer
 * that missed the first ones learns it then, or from the store.
 */
const ADDRESS_INTERVAL_MS = 5_000;

/** An entry's load in both formats. */
export interface LoadReport {
  /** The complete load, for peers that read only JSON. */
  readonly complete: readonly ReplicaLoad[];
  /** For peers that read the compact format. */
  readonly compact: CompactReport;
}

export interface LoadSenderOptions {
  readonly clock: Clock;
  ownAddress(): EntryAddress;
  send(
    bytes: Buffer,
    to: readonly EntryAddress[],
    kind: Datagram['kind'],
  ): void;
}

export function createLoadSender(options: LoadSenderOptions) {
  const {clock, ownAddress} = options;
  let seq = 0;

  const needsAddress = ({addressesSent, addressSentAt}: Peer): boolean =>
    addressesSent < FIRST_ADDRESSES ||
    clock.now() - addressSentAt >= ADDRESS_INTERVAL_MS;
  const sendDatagram = (datagram: Datagram, to: readonly Peer[]): void => {
    if (to.length === 0) return;
    const addresses = to.map(({entry}) => entry);
    options.send(encodeDatagram(datagram), addresses, datagram.kind);
  };
  const sendCompact = (
    to: readonly Peer[],
    {loads, isWhole}: CompactReport,
    hasAddress: boolean,
  ): void => {
    const self = ownAddress();
    const from = hasAddress ? self : senderHashOf(self);
    const grantsPermits = self.grantsPermits ?? false;
    const kind = 'compact-load';
    sendDatagram({kind, from, grantsPermits, seq, isWhole, loads}, to);
  };

  return (peers: readonly Peer[], report: LoadReport): void => {
    if (peers.length === 0) return;
    seq += 1;
    const readsCompact = ({entry}: Peer) =>
      (entry.loadFormat ?? 0) >= LOAD_FORMAT;
    const compact = peers.filter(readsCompact);
    const withAddress = compact.filter(needsAddress);
    const withoutAddress = compact.filter(peer => !needsAddress(peer));
    const json = peers.filter(peer => !readsCompact(peer));
    const from = ownAddress();
    sendDatagram({kind: 'load', from, seq, loads: report.complete}, json);
    sendCompact(withoutAddress, report.compact, false);
    sendCompact(withAddress, report.compact, true);
    for (const peer of withAddress) {
      peer.addressesSent += 1;
      peer.addressSentAt = clock.now();
    }
  };
}
