/**
 * The membership service: keeps track of the other processes. It polls the host
 * list, sends heartbeats to a bounded subset of the hosts, and merges both with
 * evidence from other services.
 *
 * False suspicion is bounded: a suspect stays a candidate as long as the host
 * list shows it or it answers. However many heartbeats fail at once, there are
 * never fewer candidates than listed hosts that this entry follows.
 */
import type {
  Address,
  ConfigNumber,
  FailureDomain,
  FencingNumber,
  HostId,
  Incarnation,
  NodeId,
} from '../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {EntryHeartbeatReq} from '../types/peer_messages.js';
import type {HostInfo, HostList} from '../types/platform.js';
import type {
  MembershipMessage,
  MembershipView,
  PlacementStatus,
} from '../types/services.js';
import type {Transport} from '../types/transport.js';
import {MEMBERSHIP_EVENTS} from '../utils/events.js';
import {createHeartbeats} from './heartbeats.js';
import {isEntry} from './member.js';
import type {Member} from './member.js';
import {
  withEntryHeartbeat,
  withSideReply,
  withFailedHeartbeat,
  withEvidence,
} from './member_updates.js';
import type {MemberEvidence} from './member_updates.js';
import {createMemberTable} from './member_table.js';
import {createStateLog} from './state_log.js';
import {DEFAULT_MEMBERSHIP_TIMING} from './timing.js';
import type {MembershipTiming} from './timing.js';

/** How often silent peers are looked for. */
const TICK_MS = 250;
/**
 * How often the config and placement services of this entry are asked for their
 * numbers.
 */
const OWN_STATE_POLL_MS = 2_000;
/** Load reports within this time are delivered to listeners in one view. */
const NOTIFY_DELAY_MS = 100;
/**
 * The followed subset is chosen again after this time even if the host list has
 * not changed.
 */
const RECHOOSE_MS = 30_000;
/** Replicas that are followed unless the options say otherwise. */
const DEFAULT_FOLLOW_REPLICAS = 24;

/** This entry, and its access to other processes. */
export interface MembershipOptions {
  readonly transport: Transport;
  readonly hostList: HostList;
  readonly node: NodeId;
  readonly host: HostId;
  /** Where this entry listens for peers. */
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  /** @default DEFAULT_MEMBERSHIP_TIMING */
  readonly timing?: Partial<MembershipTiming>;
  /** Replicas to follow over all pools. @default 24 */
  readonly followReplicas?: number;
}

/** Creates the service. */
export function createMembershipService(
  options: MembershipOptions,
): ServiceSpec<'membership'> {
  return {name: 'membership', start: ctx => startMembership(ctx, options)};
}

function startMembership(
  ctx: ServiceContext<'membership'>,
  options: MembershipOptions,
): void {
  const timing = {...DEFAULT_MEMBERSHIP_TIMING, ...options.timing};
  const {clock} = ctx;
  const members = createMemberTable({
    node: options.node,
    address: options.address,
    failureDomain: options.failureDomain,
    followReplicas: options.followReplicas ?? DEFAULT_FOLLOW_REPLICAS,
    timing,
    now: clock.now,
  });
  const stateLog = createStateLog(ctx);
  const listeners = new Set<(view: MembershipView) => void>();
  let configNumber: ConfigNumber = 0;
  let fence: FencingNumber = 0;
  let leaving = false;
  let lastTickAt = clock.now();
  let lastHostList: readonly HostInfo[] | undefined;
  let chosenAt = 0;
  let isNotifyPending = false;
  let stopped = false;

  /** The heartbeat of this entry, as a request and as a reply. */
  const ownHeartbeat = (): EntryHeartbeatReq => ({
    node: options.node,
    incarnation: options.incarnation,
    address: options.address,
    failureDomain: options.failureDomain,
    leaving,
    configNumber,
    fence,
  });

  const heartbeats = createHeartbeats({
    clock,
    random: ctx.random,
    transport: options.transport,
    timing,
    isEntry: address => isKnownEntry(members.get(address)),
    entryRequest: ownHeartbeat,
    sideRequest: address => ({
      entry: options.node,
      entryIncarnation: options.incarnation,
      entryAddress: options.address,
      configNumber,
      fence,
      owned: members.get(address)?.owned ?? [],
    }),
    onSideReply: (address, res, sentAt) => {
      members.update(address, member =>
        res.caseOf({
          Left: err => withFailedHeartbeat(member, err),
          Right: side => withSideReply(member, side, sentAt, clock.now()),
        }),
      );
      res.ifRight(side =>
        observeNumbers(address, side.configNumber, side.fence),
      );
      notifySoon();
    },
    onEntryReply: (address, res) => {
      members.update(address, member =>
        res.caseOf({
          Left: err => withFailedHeartbeat(member, err),
          Right: peer => withEntryHeartbeat(member, peer, clock.now()),
        }),
      );
      res.ifRight(peer =>
        observeNumbers(address, peer.configNumber, peer.fence),
      );
      notifySoon();
    },
  });

  /**
   * Compares the configuration and fencing numbers that each heartbeat carries
   * with this entry's own. A higher configuration number is sent to the
   * `config` service, which fetches the newer configuration. A higher fencing
   * number is sent to the `placement` service.
   */
  const observeNumbers = (
    peer: Address,
    number: ConfigNumber,
    peerFence: FencingNumber,
  ) => {
    if (number > configNumber) {
      ctx.send('config', {kind: 'peer-number', peer, number});
    }
    if (peerFence > fence) {
      fence = peerFence;
      ctx.send('placement', {kind: 'fence-seen', fence: peerFence});
    }
  };

  /** Delivers the current view to all subscribers. */
  const notifyListeners = () => {
    isNotifyPending = false;
    const view = members.view();
    for (const listener of listeners) listener(view);
  };

  /**
   * Records silent peers and delivers a view. Chooses the followed peers again
   * only when that is needed, since the choice is expensive and seldom changes.
   */
  const update = (rechoose: boolean) => {
    if (members.updateSilence() || rechoose) {
      members.chooseFollowed();
      heartbeats.setPeers(members.followed());
    }
    stateLog.logChanges(members);
    notifyListeners();
  };

  /**
   * Delivers a view soon, one for several load reports, because reports are
   * frequent. Silent peers are recorded by the next tick.
   */
  const notifySoon = () => {
    if (isNotifyPending) return;
    isNotifyPending = true;
    clock.after(NOTIFY_DELAY_MS, () => {
      if (isNotifyPending && !stopped) notifyListeners();
    });
  };

  /** Reads the host list once and applies it. */
  const pollHosts = async () => {
    const hosts = await options.hostList();
    hosts.ifLeft(err =>
      ctx.log(MEMBERSHIP_EVENTS.hostListFailed, {cause: err.message}),
    );
    // While the host list is unavailable, the last list and the heartbeats are
    // used.
    hosts.ifRight(list => {
      const now = clock.now();
      const isSame = list === lastHostList;
      // Processing a thousand hosts for each unchanged list would cost more
      // than all real changes.
      if (isSame && now - chosenAt < RECHOOSE_MS) return;
      lastHostList = list;
      chosenAt = now;
      members.setHosts(list);
      update(true);
    });
  };

  /** Polls the host list again and again, with jitter between two polls. */
  const pollForever = () => {
    void pollHosts().finally(() => {
      if (stopped) return;
      const delayMs = timing.hostListPollMs * (0.8 + 0.4 * ctx.random.next());
      stopPolling = clock.after(delayMs, pollForever);
    });
  };

  const tick = () => {
    const now = clock.now();
    const lateMs = now - lastTickAt - TICK_MS;
    lastTickAt = now;
    if (lateMs > timing.pausedAfterMs) onPaused(lateMs);
    update(false);
  };

  /**
   * Handles a pause of this process. During the pause it sent no heartbeats and
   * read no replies. If the pause were counted as silence of the peers, the
   * whole pool would become suspect at once; instead every peer that was not
   * suspect gets a new period.
   */
  const onPaused = (lateMs: number) => {
    ctx.log(MEMBERSHIP_EVENTS.observerPaused, {lateMs: Math.round(lateMs)});
    const now = clock.now();
    members.updateAll(member =>
      member.suspectSince === undefined
        ? {...member, lastAnswerAt: now, unreachable: false}
        : member,
    );
  };

  const onEvidence = (evidence: MemberEvidence) => {
    const {address} = evidence;
    if (members.get(address) === undefined) return;
    members.update(address, member =>
      withEvidence(member, evidence, clock.now()),
    );
    // The next heartbeat shows whether the evidence still holds.
    if (evidence.what !== 'answered') heartbeats.sendSoon(address);
    update(false);
  };

  /**
   * Records that this entry owns a dispatch at the peer, and follows the peer
   * for as long.
   */
  const addOwned = (address: Address, dispatchId: string) => {
    members.update(address, member => ({
      ...member,
      owned: [...member.owned, dispatchId],
    }));
    if (!members.followed().has(address)) update(true);
  };

  /** Records that this entry no longer owns the dispatch. */
  const removeOwned = (address: Address, dispatchId: string) => {
    if (members.get(address) === undefined) return;
    members.update(address, member => ({
      ...member,
      owned: member.owned.filter(one => one !== dispatchId),
    }));
  };

  const onEntryHeartbeat = (peer: EntryHeartbeatReq) => {
    const known = members.get(peer.address);
    if (known !== undefined && isEntry(known)) {
      members.update(peer.address, member =>
        withEntryHeartbeat(member, peer, clock.now()),
      );
      update(false);
    }
    observeNumbers(peer.address, peer.configNumber, peer.fence);
  };

  /**
   * Marks this entry as leaving, and sends that state to the followed entries
   * in a heartbeat at once.
   */
  const announceLeaving = () => {
    leaving = true;
    for (const address of members.followed()) {
      if (isKnownEntry(members.get(address))) heartbeats.sendSoon(address);
    }
  };

  const onMessage = (message: MembershipMessage) => {
    switch (message.kind) {
      case 'subscribe':
        listeners.add(message.listener);
        message.listener(members.view());
        return;
      case 'evidence':
        onEvidence(message);
        return;
      case 'own':
        addOwned(message.address, message.dispatchId);
        return;
      case 'disown':
        removeOwned(message.address, message.dispatchId);
        return;
      case 'entry-heartbeat':
        onEntryHeartbeat(message.req);
        message.reply(ownHeartbeat());
        return;
      case 'leave':
        announceLeaving();
        return;
    }
  };

  /**
   * Subscribes to the configuration and reads the fencing number. This is
   * repeated because the config and placement services may have been restarted.
   */
  const fetchOwnState = () => {
    ctx.send('config', {kind: 'subscribe', listener: onConfig});
    ctx
      .ask('placement', (reply: (status: PlacementStatus) => void) => ({
        kind: 'status',
        reply,
      }))
      .then(
        status => {
          fence = Math.max(fence, status.fence);
        },
        () => undefined,
      );
  };
  const onConfig = (config: {readonly number: ConfigNumber}) => {
    configNumber = Math.max(configNumber, config.number);
  };

  let stopPolling: () => void = () => undefined;
  ctx.own(() => {
    stopped = true;
    stopPolling();
    heartbeats.stop();
  });
  ctx.own(clock.every(TICK_MS, tick));
  ctx.own(clock.every(OWN_STATE_POLL_MS, fetchOwnState));
  // Not before the next turn: the services that it asks start after this one,
  // and a message that reaches a service before its start is dropped with a
  // warning.
  ctx.own(clock.after(0, fetchOwnState));
  pollForever();
  void ctx.mailbox.observe(onMessage);
}

/** True when the member is known and is an entry. */
function isKnownEntry(member: Member | undefined): boolean {
  return member !== undefined && isEntry(member);
}
