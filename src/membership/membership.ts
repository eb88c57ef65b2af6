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
  entryHeard,
  sideAnswered,
  unanswered,
  withEvidence,
} from './member_updates.js';
import type {Evidence} from './member_updates.js';
import {createRoster} from './member_table.js';
import {createStateLog} from './state_log.js';
import {DEFAULT_MEMBERSHIP_TIMING} from './timing.js';
import type {MembershipTiming} from './timing.js';

/** Pause between looks at who has gone silent. */
const TICK_MS = 250;
/** Pause between questions for our own placement's fencing number. */
const OWN_STATE_MS = 2_000;
/** Longest delay before new load reports are passed on. */
const TELL_WITHIN_MS = 100;
/** Whom to follow is chosen anew so often though the host list stays. */
const REFOLLOW_MS = 30_000;
const DEFAULT_FOLLOW = 24;

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
  const roster = createRoster({
    node: options.node,
    address: options.address,
    failureDomain: options.failureDomain,
    followReplicas: options.followReplicas ?? DEFAULT_FOLLOW,
    timing,
    now: clock.now,
  });
  const stateLog = createStateLog(ctx);
  const listeners = new Set<(view: MembershipView) => void>();
  let configNumber: ConfigNumber = 0;
  let fence: FencingNumber = 0;
  let leaving = false;
  let lastTickAt = clock.now();
  let listed: readonly HostInfo[] | undefined;
  let followedAt = 0;
  let dirty = false;
  let stopped = false;

  const self = (): EntryHeartbeatReq => ({
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
    isEntry: address => entryAt(roster.get(address)),
    entryReq: self,
    sideReq: address => ({
      entry: options.node,
      entryIncarnation: options.incarnation,
      entryAddress: options.address,
      configNumber,
      fence,
      owned: roster.get(address)?.owned ?? [],
    }),
    onSide: (address, res, sentAt) => {
      roster.update(address, member =>
        res.caseOf({
          Left: err => unanswered(member, err),
          Right: side => sideAnswered(member, side, sentAt, clock.now()),
        }),
      );
      res.ifRight(side => sawNumbers(address, side.configNumber, side.fence));
      changedSoon();
    },
    onEntry: (address, res) => {
      roster.update(address, member =>
        res.caseOf({
          Left: err => unanswered(member, err),
          Right: peer => entryHeard(member, peer, clock.now()),
        }),
      );
      res.ifRight(peer => sawNumbers(address, peer.configNumber, peer.fence));
      changedSoon();
    },
  });

  /** Numbers ride on every heartbeat; whoever is behind fetches by them. */
  const sawNumbers = (
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

  const tell = () => {
    dirty = false;
    const view = roster.view();
    for (const listener of listeners) listener(view);
  };

  /** Whom to follow is costly to choose, and changes seldom. */
  const changed = (refollow: boolean) => {
    if (roster.notice() || refollow) {
      roster.follow();
      heartbeats.follow(roster.following());
    }
    stateLog.compare(roster);
    tell();
  };

  /**
   * Load reports come often: their view is told once for several. Who has
   * gone silent is for the next tick to see.
   */
  const changedSoon = () => {
    if (dirty) return;
    dirty = true;
    clock.after(TELL_WITHIN_MS, () => {
      if (dirty && !stopped) tell();
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
      const isSame = list === listed;
      // Going through a thousand hosts for each unchanged list costs more than
      // all that changes.
      if (isSame && now - followedAt < REFOLLOW_MS) return;
      listed = list;
      followedAt = now;
      roster.list(list);
      changed(true);
    });
  };

  const pollForever = () => {
    void pollHosts().finally(() => {
      if (stopped) return;
      const delayMs = timing.hostListMs * (0.8 + 0.4 * ctx.random.next());
      stopPolling = clock.after(delayMs, pollForever);
    });
  };

  const tick = () => {
    const now = clock.now();
    const lateMs = now - lastTickAt - TICK_MS;
    lastTickAt = now;
    if (lateMs > timing.pausedAfterMs) onPaused(lateMs);
    changed(false);
  };

  /**
   * This process was paused: the answers that came meanwhile wait unread, and
   * none was asked for. Counting the pause as the peers' silence would make
   * the whole pool suspect at once; everyone gets a fresh period instead.
   */
  const onPaused = (lateMs: number) => {
    ctx.log(MEMBERSHIP_EVENTS.observerPaused, {lateMs: Math.round(lateMs)});
    const now = clock.now();
    roster.updateAll(member =>
      member.suspectSince === undefined
        ? {...member, lastAnswerAt: now, unreachable: false}
        : member,
    );
  };

  const onEvidence = (evidence: Evidence) => {
    const {address} = evidence;
    if (roster.get(address) === undefined) return;
    roster.update(address, member =>
      withEvidence(member, evidence, clock.now()),
    );
    // A heartbeat settles soon whether the evidence still holds.
    if (evidence.what !== 'answered') heartbeats.soon(address);
    changed(false);
  };

  const own = (address: Address, dispatchId: string) => {
    roster.update(address, member => ({
      ...member,
      owned: [...member.owned, dispatchId],
    }));
    if (!roster.following().has(address)) changed(true);
  };

  const disown = (address: Address, dispatchId: string) => {
    if (roster.get(address) === undefined) return;
    roster.update(address, member => ({
      ...member,
      owned: member.owned.filter(one => one !== dispatchId),
    }));
  };

  const onEntryHeartbeat = (peer: EntryHeartbeatReq) => {
    const known = roster.get(peer.address);
    if (known !== undefined && isEntry(known)) {
      roster.update(peer.address, member =>
        entryHeard(member, peer, clock.now()),
      );
      changed(false);
    }
    sawNumbers(peer.address, peer.configNumber, peer.fence);
  };

  const leave = () => {
    leaving = true;
    for (const address of roster.following()) {
      if (entryAt(roster.get(address))) heartbeats.soon(address);
    }
  };

  const onMessage = (message: MembershipMessage) => {
    switch (message.kind) {
      case 'subscribe':
        listeners.add(message.listener);
        message.listener(roster.view());
        return;
      case 'evidence':
        onEvidence(message);
        return;
      case 'own':
        own(message.address, message.dispatchId);
        return;
      case 'disown':
        disown(message.address, message.dispatchId);
        return;
      case 'entry-heartbeat':
        onEntryHeartbeat(message.req);
        message.reply(self());
        return;
      case 'leave':
        leave();
        return;
    }
  };

  /** The config and placement services may have been restarted meanwhile. */
  const askOwnState = () => {
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
  ctx.own(clock.every(OWN_STATE_MS, askOwnState));
  // In a turn of its own: the services that it asks start after this one, and
  // what is sent to them before is dropped with a warning.
  ctx.own(clock.after(0, askOwnState));
  pollForever();
  void ctx.mailbox.observe(onMessage);
}

function entryAt(member: Member | undefined): boolean {
  return member !== undefined && isEntry(member);
}
