/**
 * The service `sharing`, which exchanges datagrams with the peers, the other
 * entries. Each load datagram contains the entry's complete load: the next one
 * makes up for one that is lost, and there is no connection that could fail
 * silently. The service also queries peers for what they know about the store.
 */
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {createBatcher} from '../utils/batcher.js';
import {createGuard} from '../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {runAll} from '../utils/run_each.js';
import {createStepReport} from './boundary/contained_errors.js';
import {encodeDatagram} from './datagrams.js';
import type {AskDatagram, Datagram, LoadDatagram} from './datagrams.js';
import {LOAD_FORMAT, isAddress} from './peers/compact_load.js';
import type {CompactLoadDatagram} from './peers/compact_load.js';
import {openSocket} from './peers/datagram_socket.js';
import type {DatagramSource} from './peers/datagram_socket.js';
import {keepEntryRecords} from './peers/entry_records.js';
import {createIncoming} from './peers/incoming.js';
import {createIntroductions} from './peers/introductions.js';
import {createKnownSenders} from './peers/known_senders.js';
import {createLoadDeltas} from './peers/load_deltas.js';
import {createLoadSender} from './peers/load_sender.js';
import {createOutgoing} from './peers/outgoing.js';
import {createPeerTable} from './peers/peer_table.js';
import type {Peer} from './peers/peer_table.js';
import {createPeerQueries} from './peer_queries.js';
import type {ReplicaLoad} from './replica_load.js';
import {SHARE_REPORT_PEERS, sampleRandomly} from './shares/share_broadcast.js';
import type {ShareReport} from './shares/share_messages.js';
import './messages.js';
import {repeatResend} from './followed/repeat_resend.js';
import {HEARTBEAT_MS, createLoadBroadcast} from './load_broadcast.js';
import type {LoadChanges} from './load_broadcast.js';
import type {DirectStore, EntryAddress, StoreKnowledge} from './types.js';

/** Entries that are found together are reported together after this delay. */
const REPORT_ENTRIES_MS = 20;

export interface SharingOptions {
  readonly self: EntryAddress;
  readonly store: DirectStore;
  /**
   * Whether this entry announces that it reads the compact format of loads.
   * Entries of earlier versions do not. @default true
   */
  readonly readsCompactLoads?: boolean;
}

/** This entry's own load, and what changed in it. */
interface ChangedLoad {
  readonly loads: readonly ReplicaLoad[];
  readonly changes: LoadChanges;
}

/** The loads of a datagram in either format. */
type ReportedLoads = Pick<
  LoadDatagram | CompactLoadDatagram,
  'seq' | 'loads'
> & {readonly isWhole: boolean};

export function createSharing(options: SharingOptions): ServiceSpec<'sharing'> {
  return {
    name: 'sharing',
    start: ctx => startSharing(options, ctx),
    // The next load datagram holds the whole load, and reports are repeated.
    messageFailed: (ctx, message) => repeatResend(ctx, message),
  };
}

async function startSharing(
  {self, store, readsCompactLoads = true}: SharingOptions,
  ctx: ServiceContext<'sharing'>,
): Promise<void> {
  const {clock, log, metrics, random} = ctx;
  let loads: readonly ReplicaLoad[] = [];
  /** The newest own load, after an error at it. */
  let unshared: ChangedLoad | undefined;
  let reportedCount = 1;
  let reportedEntries = '';
  let isDraining = false;
  let isClosed = false;

  const socket = await openSocket(self, ctx);

  const peers = createPeerTable({
    clock,
    self,
    onFound: entry => {
      senders.learn(entry);
      deltas.peerFound(entry.failureDomain);
      log(DIRECT_EVENTS.entryFound, {entry: entry.node, ip: entry.ip});
      scheduleEntries(REPORT_ENTRIES_MS);
    },
  });
  const senders = createKnownSenders();
  const outgoing = createOutgoing({clock, metrics, random, socket, peers});
  const {sendTo, sendToNode} = outgoing;

  // A draining entry grants no permits, so that another one takes over before
  // it ends.
  const ownAddress = (): EntryAddress => ({
    ...self,
    grantsPermits: !isDraining,
    loadFormat: readsCompactLoads ? LOAD_FORMAT : undefined,
  });
  const sendLoad = createLoadSender({
    clock,
    ownAddress,
    send: outgoing.sendBytes,
  });
  const peersWhere = (matches: (entry: EntryAddress) => boolean) =>
    peers
      .all()
      .map(({entry}) => entry)
      .filter(matches);
  const deltas = createLoadDeltas(clock);
  const loadBroadcast = createLoadBroadcast<Peer>({
    clock,
    sameDomainPeers: () =>
      peers.all().filter(({entry}) => peers.isSameDomain(entry)),
    otherDomainPeers: () =>
      peers.all().filter(({entry}) => !peers.isSameDomain(entry)),
    domainOf: ({entry}) => entry.failureDomain,
    send: to => {
      if (to.length === 0) return;
      const {entry} = to[0];
      const compact = peers.isSameDomain(entry)
        ? deltas.whole()
        : deltas.nextFor(entry.failureDomain);
      sendLoad(to, {complete: loads, compact});
    },
  });

  const shareLoad = (changed: ChangedLoad): void => {
    unshared = changed;
    const {hasLongPrefill, domains} = changed.changes;
    const own = changed.loads;
    deltas.set(own);
    loads = own;
    loadBroadcast.loadChanged(hasLongPrefill, domains);
    unshared = undefined;
  };
  /** The next load may be long in coming, so an error repeats the newest one. */
  const shareAgain = (): void => {
    if (unshared !== undefined) shareLoad(unshared);
  };

  const queries = createPeerQueries({
    clock,
    self,
    // Only peers whose names sort before this entry's, so that the first entry
    // always asks the store itself.
    candidates: anyPeer =>
      peers
        .live()
        .filter(({entry}) => anyPeer || entry.node < self.node)
        .map(({entry}) => entry)
        .sort((a, b) => (a.node < b.node ? -1 : 1)),
    send: sendTo,
  });
  const answerQuery = async ({from, question}: AskDatagram): Promise<void> => {
    const knowledge = await ctx.ask(
      'followed',
      (reply: (knowledge: StoreKnowledge) => void) => ({
        kind: 'knowledge',
        reply,
      }),
    );
    sendTo({kind: 'answer', question, knowledge}, from);
  };

  const sendShareReport = (report: ShareReport): void => {
    const readers = peers
      .live()
      .map(({entry}) => entry)
      .filter(({readsShares}) => readsShares);
    const to = sampleRandomly(readers, SHARE_REPORT_PEERS, random);
    if (to.length === 0) return;
    const bytes = encodeDatagram({kind: 'shares', report});
    outgoing.sendBytes(bytes, to, 'shares');
  };

  // A query may arrive while this entry starts, before the service that knows
  // the store is running.
  const logUnanswered = (err: unknown): void =>
    log(DIRECT_EVENTS.handoverFailed, {
      step: 'answer an entry',
      message: String(err),
    });

  const handleDatagram = (datagram: Datagram, source: DatagramSource): void => {
    switch (datagram.kind) {
      case 'load':
        return handleLoad(datagram.from, {...datagram, isWhole: true});
      case 'compact-load':
        return handleCompactLoad(datagram, source);
      case 'ask':
        return void answerQuery(datagram).catch(logUnanswered);
      case 'answer':
        return queries.handleAnswer(datagram);
      case 'limits':
        return ctx.send('direct', {
          kind: 'limit-reports',
          reports: datagram.reports,
        });
      case 'permit-ask': {
        const {from, ask} = datagram;
        peers.add(from);
        return ctx.send('direct', {kind: 'permit-ask', from: from.node, ask});
      }
      case 'shares':
        return ctx.send('direct', {
          kind: 'share-report',
          report: datagram.report,
        });
      case 'permit-answer':
        return ctx.send('direct', {
          kind: 'permit-answer',
          answer: datagram.answer,
        });
      case 'crashes':
        return ctx.send('direct', {
          kind: 'crash-reports',
          reports: datagram.reports,
        });
    }
  };

  const sendWhole = (to: Peer): void =>
    sendLoad([to], {complete: loads, compact: deltas.whole()});
  const introduce = createIntroductions(clock, sendWhole);
  const handleCompactLoad = (
    datagram: CompactLoadDatagram,
    source: DatagramSource,
  ): void => {
    const {from, grantsPermits} = datagram;
    if (isAddress(from)) senders.learn(from);
    const sender = isAddress(from) ? from : senders.find(from);
    // Its next datagram with its address makes it known.
    if (sender === undefined) {
      metrics.count('onyxloft_sharing_unknown_sender_total');
      return introduce(source);
    }
    return handleLoad({...sender, grantsPermits}, datagram);
  };
  const handleLoad = (
    from: EntryAddress,
    {seq, loads: peerLoads, isWhole}: ReportedLoads,
  ): void => {
    const peer = peers.add(from);
    if (peer === undefined || seq <= peer.seq) return;
    // Nothing is known yet of an incarnation that is heard for the first time.
    const isFirst = peer.seq === 0;
    peer.seq = seq;
    peer.heardAt = clock.now();
    const {grantsPermits, loadFormat, readsShares} = peer.entry;
    const isOutdated =
      grantsPermits !== from.grantsPermits ||
      loadFormat !== from.loadFormat ||
      readsShares !== from.readsShares;
    if (isOutdated) {
      senders.learn(from);
      scheduleEntries(REPORT_ENTRIES_MS);
      peer.entry = from;
    }
    // The peer may have started just now, and know no other entry.
    if (isFirst && peer.addressesSent === 0) sendWhole(peer);
    ctx.send('direct', {
      kind: 'peer-load',
      node: from.node,
      loads: peerLoads,
      isWhole: isWhole || isFirst,
      keepMs: peers.silenceLimitMs(from),
    });
  };

  const heartbeat = (): void => {
    // Entries are counted though loads can't be sent.
    runAll([shareAgain, loadBroadcast.heartbeat, reportEntries]);
  };
  const scheduleEntries = createBatcher(clock, () => {
    if (!isClosed) reportEntries();
  });
  /** Tells the other services which entries live, if that has changed. */
  const reportEntries = (): void => {
    const count = peers.live().length + 1;
    const granting = peers.grantingEntries(isDraining);
    const described = JSON.stringify([count, granting]);
    if (described === reportedEntries) return;
    if (count !== reportedCount) log(DIRECT_EVENTS.entriesCounted, {count});
    reportedCount = count;
    ctx.send('direct', {kind: 'entries', count, granting});
    ctx.send('followed', {kind: 'entries', count});
    // Noted last: what is noted is not sent again.
    reportedEntries = described;
  };

  socket.onDatagram(createIncoming({log, metrics, handle: handleDatagram}));
  ctx.own(() => {
    isClosed = true;
    outgoing.stop();
    socket.close();
  });
  ctx.own(loadBroadcast.stop);
  ctx.own(clock.every(HEARTBEAT_MS, heartbeat));
  const records = keepEntryRecords({
    clock,
    log,
    metrics,
    random,
    self,
    store,
    peers,
    ownAddress,
    isDraining: () => isDraining,
    own: ctx.own,
  });
  void ctx.mailbox.observe(message => {
    switch (message.kind) {
      case 'query-peer':
        return queries.query(message.anyPeer, message.reply);
      case 'is-entry':
        return message.reply(peersWhere(it => it.ip === message.ip).length > 0);
      case 'crash-reports':
        return outgoing.sendCrashReports(message.reports, message.toAll);
      case 'store-restored':
        return records.reannounce();
      case 'resend-state':
        reportedEntries = '';
        return reportEntries();
      case 'draining':
        isDraining = true;
        reportEntries();
        // Peers are to take over before this entry has ended.
        return loadBroadcast.sendToAll();
      case 'limit-reports':
        return outgoing.sendLimitReports(message.reports, message.to);
      case 'share-report':
        return sendShareReport(message.report);
      case 'permit-ask': {
        const from = ownAddress();
        const {to, ask} = message;
        return sendToNode({kind: 'permit-ask', from, ask}, to);
      }
      case 'permit-answer': {
        const {to, answer} = message;
        return sendToNode({kind: 'permit-answer', answer}, to);
      }
      case 'load':
        return shareLoad(message);
    }
  });
  // Keys cannot be confirmed before a peer has answered, so one is queried at
  // once instead of after the first interval.
  const findPeers = async (): Promise<boolean> => {
    const isMissing = await records.listPeers();
    ctx.send('followed', {kind: 'confirm'});
    return isMissing;
  };
  // An entry that starts again still has its record, so other entries find it
  // while the record is written. Of two new entries, each may list before the
  // other has its record; so those list once more.
  const findAll = async (): Promise<void> => {
    const [isMissing] = await Promise.all([findPeers(), records.announce()]);
    if (isMissing) await findPeers();
  };
  createGuard(createStepReport(ctx))('first peers', findAll)();
}
