/**
 * Decides when an entry sends its load to its peers, the other entries. If each
 * entry sent every change to all of them, traffic would grow with the square of
 * the number of entries.
 *
 * Entries in the same failure domain choose among the same engines first, so
 * they receive every change at once. Entries in other domains receive changes
 * within a budget of datagrams: at once while there are few entries, and less
 * often the more there are. A long prefill is sent to all peers at once,
 * because two long prefills on one engine delay each other, and every stream
 * there, for seconds.
 */
import type {Cancel, Clock} from '../types/runtime.js';

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

export interface LoadBroadcast {
  /**
   * Call at each change of the load. `hasLongPrefill` is true where a long
   * prefill was added.
   */
  loadChanged(hasLongPrefill: boolean): void;
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
  /** Sends the current load. */
  send(peers: readonly Peer[]): void;
}

/** Interval at which `heartbeat` has to be called, in milliseconds. */
export const HEARTBEAT_MS = SAME_DOMAIN_HEARTBEAT_MS;

export function createLoadBroadcast<Peer>(
  options: LoadBroadcastOptions<Peer>,
): LoadBroadcast {
  const {clock, sameDomainPeers, otherDomainPeers, send} = options;
  let sameDomainSentAt = Number.NEGATIVE_INFINITY;
  let otherDomainsSentAt = Number.NEGATIVE_INFINITY;
  let budget = OTHER_DOMAIN_DATAGRAMS_PER_S;
  let accruedAt = clock.now();
  let cancelScheduled: Cancel | undefined;

  const accrue = (max: number): void => {
    const now = clock.now();
    const earned = ((now - accruedAt) / 1_000) * OTHER_DOMAIN_DATAGRAMS_PER_S;
    budget = Math.min(max, budget + earned);
    accruedAt = now;
  };
  const sendToOtherDomains = (peers: readonly Peer[]): void => {
    cancelScheduled?.();
    cancelScheduled = undefined;
    budget -= peers.length;
    otherDomainsSentAt = clock.now();
    send(peers);
  };
  const scheduleOtherDomains = (delayMs: number): void => {
    cancelScheduled ??= clock.after(delayMs, () =>
      sendToOtherDomains(otherDomainPeers()),
    );
  };
  const sendToOtherDomainsInBudget = (hasLongPrefill: boolean): void => {
    const peers = otherDomainPeers();
    accrue(Math.max(OTHER_DOMAIN_DATAGRAMS_PER_S, peers.length));
    // A long prefill may overdraw the budget by one round only, so that a burst
    // of long prompts cannot exceed it by more.
    const requiredBudget = hasLongPrefill ? 0 : peers.length;
    if (budget >= requiredBudget) sendToOtherDomains(peers);
    else
      scheduleOtherDomains(
        ((requiredBudget - budget) / OTHER_DOMAIN_DATAGRAMS_PER_S) * 1_000,
      );
  };
  const sendToSameDomain = (): void => {
    sameDomainSentAt = clock.now();
    send(sameDomainPeers());
  };

  return {
    loadChanged: hasLongPrefill => {
      sendToSameDomain();
      sendToOtherDomainsInBudget(hasLongPrefill);
    },
    heartbeat: () => {
      const now = clock.now();
      if (now - sameDomainSentAt >= SAME_DOMAIN_HEARTBEAT_MS)
        sendToSameDomain();
      if (now - otherDomainsSentAt >= OTHER_DOMAIN_HEARTBEAT_MS)
        sendToOtherDomains(otherDomainPeers());
    },
    sendToAll: () => {
      sendToSameDomain();
      sendToOtherDomains(otherDomainPeers());
    },
    stop: () => cancelScheduled?.(),
  };
}
