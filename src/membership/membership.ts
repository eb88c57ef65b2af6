/**
 * The service that knows the other processes: polls the host list, follows a
 * bounded subset by heartbeats, and merges both with direct evidence.
 *
 * Bound on false suspicion: a suspect stays a candidate as long as the host
 * list shows it or it answers, so however many heartbeats fail at once the
 * candidates are never fewer than the listed hosts that this entry follows.
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

/** Pause between looks at who has gone silent. */
const TICK_MS = 250;
/** Pause between questions for our own placement's fencing number. */
const OWN_STATE_POLL_MS = 2_000;
/** Longest delay before new load reports are passed on. */
const NOTIFY_DELAY_MS = 100;
/** Whom to follow is chosen anew so often though the host list stays. */
const RECHOOSE_MS = 30_000;
const DEFAULT_FOLLOW_REPLICAS = 24;

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

  /** Numbers ride on every heartbeat; whoever is behind fetches by them. */
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

  const notifyListeners = () => {
    isNotifyPending = false;
    const view = members.view();
    for (const listener of listeners) listener(view);
  };

  /** Whom to follow is costly to choose, and changes seldom. */
  const update = (rechoose: boolean) => {
    if (members.updateSilence() || rechoose) {
      members.chooseFollowed();
      heartbeats.setPeers(members.followed());
    }
    stateLog.logChanges(members);
    notifyListeners();
  };

  /**
   * Load reports come often: their view is told once for several. Who has
   * gone silent is for the next tick to see.
   */
  const notifySoon = () => {
    if (isNotifyPending) return;
    isNotifyPending = true;
    clock.after(NOTIFY_DELAY_MS, () => {
      if (isNotifyPending && !stopped) notifyListeners();
    });
  };

  const pollHosts = async () => {
    const hosts = await options.hostList();
    hosts.ifLeft(err =>
      ctx.log(MEMBERSHIP_EVENTS.hostListFailed, {cause: err.message}),
    );
    // While the list is out, the last one and the heartbeats stand.
    hosts.ifRight(list => {
      const now = clock.now();
      const isSame = list === lastHostList;
      // Going through a thousand hosts for each unchanged list costs more than
      // all that changes.
      if (isSame && now - chosenAt < RECHOOSE_MS) return;
      lastHostList = list;
      chosenAt = now;
      members.setHosts(list);
      update(true);
    });
  };

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
   * This process was paused: the answers that came meanwhile wait unread, and
   * none was asked for. Counting the pause as the peers' silence would make
   * the whole pool suspect at once; everyone gets a fresh period instead.
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
    // A heartbeat settles soon whether the evidence still holds.
    if (evidence.what !== 'answered') heartbeats.sendSoon(address);
    update(false);
  };

  const addOwned = (address: Address, dispatchId: string) => {
    members.update(address, member => ({
      ...member,
      owned: [...member.owned, dispatchId],
    }));
    if (!members.followed().has(address)) update(true);
  };

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

  /** The config and placement services may have been restarted meanwhile. */
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
  // In a turn of its own: the services that it asks start after this one, and
  // what is sent to them before is dropped with a warning.
  ctx.own(clock.after(0, fetchOwnState));
  pollForever();
  void ctx.mailbox.observe(onMessage);
}

function isKnownEntry(member: Member | undefined): boolean {
  return member !== undefined && isEntry(member);
}
