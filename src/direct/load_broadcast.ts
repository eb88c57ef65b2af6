/**
 * Decides when an entry sends its load to its peers, the other entries. If each
 * entry sent every change to all of them, traffic would grow with the square of
 * the number of entries.
 *
 * Entries in the same failure domain choose among the same engines first, so
 * they receive every change at once. Entries in other domains receive changes
 * within a budget of datagrams: at once while there are few entries, and less
 * often the more there are. Changes at engines of their own domain come first:
 * an entry uses few engines of other domains, so it is told of those less
 * often, and their changes cannot use up the budget. A long prefill is sent to
 * all peers at once, because two long prefills on one engine delay each other,
 * and every stream there, for seconds.
 */
import type {Cancel, Clock} from '../types/runtime.js';
import {runAll, visitAll} from '../utils/run_each.js';

/**
 * Time after which a heartbeat is sent to entries in the same failure domain if
 * nothing else was sent to them, in milliseconds.
 */
const SAME_DOMAIN_HEARTBEAT_MS = 300;
/** The same for entries in other failure domains. */
const OTHER_DOMAIN_HEARTBEAT_MS = 1_000;
/**
 * Budget of datagrams per second to other failure domains; changes beyond it
 * are delayed. Reading as many takes less than a hundredth of a core. With a
 * much smaller budget, long prompts would go to engines that peers have filled
 * in the meantime.
 */
const OTHER_DOMAIN_DATAGRAMS_PER_S = 200;

/**
 * The part of the budget for changes of engines outside of the receivers'
 * domain. A smaller part lets peers place requests by loads that are out of
 * date.
 */
const OUTSIDE_DATAGRAMS_PER_S = 150;

/** Limits of what is sent to other failure domains. */
export interface LoadBroadcastLimits {
  /** Budget of datagrams per second. */
  readonly datagramsPerS: number;
  /** See `OUTSIDE_DATAGRAMS_PER_S`. */
  readonly outsideDatagramsPerS: number;
}

export const DEFAULT_LIMITS: LoadBroadcastLimits = {
  datagramsPerS: OTHER_DOMAIN_DATAGRAMS_PER_S,
  outsideDatagramsPerS: OUTSIDE_DATAGRAMS_PER_S,
};

/** What changed in this entry's own load. */
export interface LoadChanges {
  /** Whether a long prefill was added. */
  readonly hasLongPrefill: boolean;
  /**
   * Failure domains of the engines whose load changed. Undefined stands for the
   * replicas of plain services, among which entries of all domains choose
   * alike.
   */
  readonly domains: ReadonlySet<string | undefined>;
}

export interface LoadBroadcast {
  /**
   * Call at each change of the load. Without `domains`, the change concerns all
   * domains.
   */
  loadChanged(hasLongPrefill: boolean, domains?: LoadChanges['domains']): void;
  /**
   * Sends the load to peers that have received nothing recently, so that they
   * know that this entry is alive.
   */
  heartbeat(): void;
  /** Sends the load to all peers at once. */
  sendToAll(): void;
  stop: Cancel;
}

export interface LoadBroadcastOptions<Peer> {
  readonly clock: Clock;
  /** Peers in this entry's failure domain. */
  sameDomainPeers(): readonly Peer[];
  otherDomainPeers(): readonly Peer[];
  /** Failure domain of a peer. @default all others are in one */
  domainOf?(peer: Peer): string | undefined;
  /** @default `DEFAULT_LIMITS` */
  readonly limits?: LoadBroadcastLimits;
  /** Sends the current load. */
  send(peers: readonly Peer[]): void;
}

/** Interval at which `heartbeat` has to be called, in milliseconds. */
export const HEARTBEAT_MS = SAME_DOMAIN_HEARTBEAT_MS;

/** What was sent to another failure domain. */
interface OtherDomain {
  sentAt: number;
  cancelScheduled: Cancel | undefined;
  /** When the scheduled datagrams are due. */
  dueAt: number;
}

export function createLoadBroadcast<Peer>(
  options: LoadBroadcastOptions<Peer>,
): LoadBroadcast {
  const {clock, sameDomainPeers, otherDomainPeers, send} = options;
  const {datagramsPerS, outsideDatagramsPerS} =
    options.limits ?? DEFAULT_LIMITS;
  const domainOf = options.domainOf ?? (() => undefined);
  const domains = new Map<string | undefined, OtherDomain>();
  let sameDomainSentAt = Number.NEGATIVE_INFINITY;
  let budget = datagramsPerS;
  let accruedAt = clock.now();

  const accrue = (max: number): void => {
    const now = clock.now();
    const earned = ((now - accruedAt) / 1_000) * datagramsPerS;
    budget = Math.min(max, budget + earned);
    accruedAt = now;
  };
  const peersByDomain = (): ReadonlyMap<string | undefined, Peer[]> => {
    const byDomain = new Map<string | undefined, Peer[]>();
    for (const peer of otherDomainPeers()) {
      const domain = domainOf(peer);
      const peers = byDomain.get(domain);
      if (peers === undefined) byDomain.set(domain, [peer]);
      else peers.push(peer);
    }
    return byDomain;
  };
  const stateOf = (name: string | undefined): OtherDomain => {
    const known = domains.get(name);
    if (known !== undefined) return known;
    const state: OtherDomain = {
      sentAt: Number.NEGATIVE_INFINITY,
      cancelScheduled: undefined,
      dueAt: Infinity,
    };
    domains.set(name, state);
    return state;
  };
  const sendTo = (name: string | undefined, peers: readonly Peer[]): void => {
    const state = stateOf(name);
    // After an error at the send, the next heartbeat is due.
    state.sentAt = Number.NEGATIVE_INFINITY;
    send(peers);
    state.sentAt = clock.now();
    budget -= peers.length;
    state.cancelScheduled?.();
    state.cancelScheduled = undefined;
    state.dueAt = Infinity;
  };
  const schedule = (name: string | undefined, delayMs: number): void => {
    const state = stateOf(name);
    const dueAt = clock.now() + delayMs;
    if (state.dueAt <= dueAt) return;
    state.cancelScheduled?.();
    // Noted last: without a timer, a due time would keep out every later send.
    state.dueAt = Infinity;
    state.cancelScheduled = clock.after(delayMs, () => {
      // The budget may be overdrawn by now, and then this is scheduled again.
      state.dueAt = Infinity;
      sendInBudget(name, peersByDomain().get(name) ?? [], 0);
    });
    state.dueAt = dueAt;
  };
  const sendInBudget = (
    name: string | undefined,
    peers: readonly Peer[],
    requiredBudget: number,
  ): void => {
    accrue(Math.max(datagramsPerS, peers.length));
    if (budget >= requiredBudget) sendTo(name, peers);
    else {
      // A fraction of a millisecond could round to no time at all.
      const waitMs = ((requiredBudget - budget) / datagramsPerS) * 1_000;
      schedule(name, Math.ceil(waitMs));
    }
  };
  const sendToSameDomain = (): void => {
    sameDomainSentAt = Number.NEGATIVE_INFINITY;
    send(sameDomainPeers());
    sameDomainSentAt = clock.now();
  };
  /** Visits each other domain, also after an error at this one or another. */
  const sendToDomains = (
    sendToOwn: () => void,
    visit: (name: string | undefined, peers: readonly Peer[]) => void,
  ): void =>
    runAll([
      sendToOwn,
      () => visitAll(peersByDomain(), ([name, peers]) => visit(name, peers)),
    ]);

  return {
    loadChanged: (hasLongPrefill, changed = new Set([undefined])) => {
      const peerCount = otherDomainPeers().length;
      const outsideIntervalMs = (peerCount / outsideDatagramsPerS) * 1_000;
      sendToDomains(sendToSameDomain, (name, peers) => {
        const {sentAt} = stateOf(name);
        const isAffected = changed.has(name) || changed.has(undefined);
        const waitMs = sentAt + outsideIntervalMs - clock.now();
        // A long prefill may overdraw the budget by one round only, so that a
        // burst of long prompts cannot exceed it by more.
        if (hasLongPrefill) sendInBudget(name, peers, 0);
        else if (isAffected || waitMs <= 0)
          sendInBudget(name, peers, peers.length);
        else schedule(name, waitMs);
      });
    },
    heartbeat: () => {
      const now = clock.now();
      const sendToOwn = (): void => {
        if (now - sameDomainSentAt >= SAME_DOMAIN_HEARTBEAT_MS)
          sendToSameDomain();
      };
      sendToDomains(sendToOwn, (name, peers) => {
        if (now - stateOf(name).sentAt >= OTHER_DOMAIN_HEARTBEAT_MS)
          sendTo(name, peers);
      });
    },
    sendToAll: () => sendToDomains(sendToSameDomain, sendTo),
    stop: () => {
      for (const {cancelScheduled} of domains.values()) cancelScheduled?.();
    },
  };
}
