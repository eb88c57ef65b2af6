/**
 * The service `sharing`: talks with the other entries in datagrams. It tells
 * them what this one has assigned; each telling holds all of the entry's load,
 * so a lost one is mended by the next, and there is no connection that could go
 * silent. It also asks one of them what it knows of the store.
 */
import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {CrashReport} from './crash_reports.js';
import {decodeDatagram, encodeDatagram} from './datagrams.js';
import type {AskDatagram, Datagram, LoadDatagram} from './datagrams.js';
import {createPeerQueries} from './peer_queries.js';
import type {ReplicaLoad} from './replica_load.js';
import './messages.js';
import {HEARTBEAT_MS, createLoadBroadcast} from './load_broadcast.js';
import type {DirectStore, EntryAddress, StoreKnowledge} from './types.js';

/** An entry that was not heard of for this long is not counted. */
const SAME_DOMAIN_SILENCE_MS = 1_500;
/** The same in another failure domain, where beats are three times as far apart. */
const OTHER_DOMAIN_SILENCE_MS = 3_500;
/** A record in the store whose entry stays silent for this long is removed. */
const REMOVE_RECORD_AFTER_MS = 15_000;
/**
 * Between reads of the entries' records. One that starts tells all that it
 * finds, so a read only finds those that started in the same instant.
 */
const LIST_INTERVAL_MS = 10_000;
/** Until the own record stands in the store. */
const ANNOUNCE_RETRY_MS = 1_000;
/** Over which entries write their records again that a store has lost. */
const REANNOUNCE_SPREAD_MS = 1_000;
/** As many as one datagram holds. */
const MAX_REPORTS_PER_DATAGRAM = 4;
/** A report of several crashes is told again so much later: datagrams are lost. */
const CRASH_REPORT_RESEND_DELAYS_MS = [100, 400];

export interface SharingOptions {
  readonly self: EntryAddress;
  readonly store: DirectStore;
}

interface Peer {
  readonly entry: EntryAddress;
  heardAt: number;
  seq: number;
}

export function createSharing(options: SharingOptions): ServiceSpec<'sharing'> {
  return {name: 'sharing', start: ctx => startSharing(options, ctx)};
}

async function startSharing(
  {self, store}: SharingOptions,
  ctx: ServiceContext<'sharing'>,
): Promise<void> {
  const {clock, log, metrics, random} = ctx;
  const peers = new Map<string, Peer>();
  let loads: readonly ReplicaLoad[] = [];
  let seq = 0;
  let reportedCount = 1;
  let isDraining = false;
  let isClosed = false;

  const socket = await openSocket(self);

  const sendBytes = (
    bytes: Buffer,
    to: readonly EntryAddress[],
    kind: Datagram['kind'],
  ): void => {
    for (const {ip, port} of to) socket.send(bytes, port, ip, () => undefined);
    const total = bytes.length * to.length;
    metrics.count('onyxloft_sharing_bytes_total', {kind}, total);
  };
  const isSameDomain = ({failureDomain}: EntryAddress) =>
    failureDomain === self.failureDomain;
  const peersWhere = (matches: (entry: EntryAddress) => boolean) =>
    [...peers.values()].map(({entry}) => entry).filter(matches);
  const loadBroadcast = createLoadBroadcast<EntryAddress>({
    clock,
    sameDomainPeers: () => peersWhere(isSameDomain),
    otherDomainPeers: () => peersWhere(entry => !isSameDomain(entry)),
    send: to => {
      if (to.length === 0) return;
      const kind = 'load';
      const bytes = encodeDatagram({kind, from: self, seq: ++seq, loads});
      sendBytes(bytes, to, kind);
    },
  });

  const addPeer = (entry: EntryAddress): Peer | undefined => {
    if (entry.node === self.node) return undefined;
    const known = peers.get(entry.node);
    if (known?.entry.incarnation === entry.incarnation) return known;
    const peer = {entry, heardAt: clock.now(), seq: 0};
    peers.set(entry.node, peer);
    log(DIRECT_EVENTS.entryFound, {entry: entry.node, ip: entry.ip});
    return peer;
  };

  const silenceLimitMs = (entry: EntryAddress) =>
    isSameDomain(entry) ? SAME_DOMAIN_SILENCE_MS : OTHER_DOMAIN_SILENCE_MS;
  const isAlive = ({entry, heardAt}: Peer) =>
    clock.now() - heardAt < silenceLimitMs(entry);

  const sendTo = (datagram: Datagram, to: EntryAddress): void =>
    sendBytes(encodeDatagram(datagram), [to], datagram.kind);
  const queries = createPeerQueries({
    clock,
    self,
    // Those before this one by name, so that some entry asks the store itself.
    candidates: anyPeer =>
      [...peers.values()]
        .filter(isAlive)
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

  const sendCrashReports = (reports: readonly CrashReport[]): void => {
    const to = peersWhere(() => true);
    for (let at = 0; at < reports.length; at += MAX_REPORTS_PER_DATAGRAM) {
      const batch = reports.slice(at, at + MAX_REPORTS_PER_DATAGRAM);
      const bytes = encodeDatagram({kind: 'crashes', reports: batch});
      sendBytes(bytes, to, 'crashes');
    }
  };
  const sendCrashReportsToAll = (reports: readonly CrashReport[]): void => {
    sendCrashReports(reports);
    const repeatOffenders = reports.filter(({ended}) => ended.length > 1);
    if (repeatOffenders.length === 0) return;
    for (const delayMs of CRASH_REPORT_RESEND_DELAYS_MS) {
      clock.after(delayMs, () => isClosed || sendCrashReports(repeatOffenders));
    }
  };
  const sendCrashReportsToOne = (reports: readonly CrashReport[]): void => {
    const alivePeers = [...peers.values()].filter(isAlive);
    if (alivePeers.length === 0) return;
    const {entry} = alivePeers[Math.floor(random.next() * alivePeers.length)];
    sendTo({kind: 'crashes', reports}, entry);
  };

  // Asked while this entry starts, the service that knows is not there yet.
  const logUnanswered = (err: unknown): void =>
    log(DIRECT_EVENTS.handoverFailed, {
      step: 'answer an entry',
      message: String(err),
    });

  const receive = (bytes: Buffer): void => {
    decodeDatagram(bytes).caseOf({
      Nothing: () => metrics.count('onyxloft_sharing_unreadable_total'),
      Just: handleDatagram,
    });
  };

  const handleDatagram = (datagram: Datagram): void => {
    switch (datagram.kind) {
      case 'load':
        return handleLoad(datagram);
      case 'ask':
        return void answerQuery(datagram).catch(logUnanswered);
      case 'answer':
        return queries.handleAnswer(datagram);
      case 'crashes':
        return ctx.send('direct', {
          kind: 'crash-reports',
          reports: datagram.reports,
        });
    }
  };

  const handleLoad = (datagram: LoadDatagram): void => {
    const peer = addPeer(datagram.from);
    if (peer === undefined || datagram.seq <= peer.seq) return;
    peer.seq = datagram.seq;
    peer.heardAt = clock.now();
    const {from, loads: peerLoads} = datagram;
    ctx.send('direct', {
      kind: 'peer-load',
      node: from.node,
      loads: peerLoads,
      keepMs: silenceLimitMs(from),
    });
  };

  const heartbeat = (): void => {
    loadBroadcast.heartbeat();
    const count = [...peers.values()].filter(isAlive).length + 1;
    if (count === reportedCount) return;
    reportedCount = count;
    log(DIRECT_EVENTS.entriesCounted, {count});
    sendCount(count);
  };
  const sendCount = (count: number): void => {
    ctx.send('direct', {kind: 'entries', count});
    ctx.send('followed', {kind: 'entries', count});
  };

  const refreshPeers = async (): Promise<void> => {
    const entries = await store.listEntries();
    entries.ifRight(found => found.forEach(addPeer));
    for (const [node, peer] of peers) {
      if (clock.now() - peer.heardAt < REMOVE_RECORD_AFTER_MS) continue;
      peers.delete(node);
      log(DIRECT_EVENTS.entryRemoved, {entry: node});
      (await store.removeEntry(node)).ifLeft(({message}) =>
        log(DIRECT_EVENTS.storeCallFailed, {step: 'remove entry', message}),
      );
    }
  };

  const announce = async (): Promise<void> => {
    const announced = await store.announceEntry(self);
    announced.ifLeft(({message}) => {
      log(DIRECT_EVENTS.storeCallFailed, {step: 'announce entry', message});
      const cancel = clock.after(ANNOUNCE_RETRY_MS, () => void announce());
      ctx.own(cancel);
    });
  };

  // All entries notice in the same instant; their records need not all be
  // written in it, as each knows the others.
  const reannounce = (): void => {
    const cancel = clock.after(random.next() * REANNOUNCE_SPREAD_MS, () => {
      if (isDraining) return;
      log(DIRECT_EVENTS.recordRewritten, {});
      void announce();
    });
    ctx.own(cancel);
  };

  socket.on('message', receive);
  ctx.own(() => {
    isClosed = true;
    socket.close();
  });
  ctx.own(loadBroadcast.stop);
  ctx.own(clock.every(HEARTBEAT_MS, heartbeat));
  ctx.own(clock.every(LIST_INTERVAL_MS, () => void refreshPeers()));
  void ctx.mailbox.observe(message => {
    switch (message.kind) {
      case 'query-peer':
        return queries.query(message.anyPeer, message.reply);
      case 'is-entry':
        return message.reply(peersWhere(it => it.ip === message.ip).length > 0);
      case 'crash-reports':
        return message.toAll
          ? sendCrashReportsToAll(message.reports)
          : sendCrashReportsToOne(message.reports);
      case 'store-restored':
        return reannounce();
      case 'resend-state':
        return sendCount(reportedCount);
      case 'draining':
        isDraining = true;
        return;
      case 'load':
        loads = message.loads;
        return loadBroadcast.loadChanged(message.hasLongRead);
    }
  });
  // The first word of another entry is waited for, so it is asked for at once.
  void announce()
    .then(refreshPeers)
    .then(() => ctx.send('followed', {kind: 'confirm'}));
}

function openSocket(self: EntryAddress): Promise<Socket> {
  const socket = createSocket('udp4');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(self.port, self.ip, () => {
      socket.removeListener('error', reject);
      // An unreachable peer shows as silence; nothing else is to be done.
      socket.on('error', () => undefined);
      resolve(socket);
    });
  });
}
