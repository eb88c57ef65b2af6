/**
 * When an entry tells the others of its load. Told to everyone at each change,
 * the talk would grow with the square of the entries.
 *
 * Entries of the same failure domain choose among the same engines first, so
 * they hear of every change at once. Those of other domains hear of it within a
 * budget of datagrams: at once while they are few, and less often the more there
 * are. A long read is told to all at once, since two on one engine hold up each
 * other, and all who write there, for seconds.
 */
import type {Cancel, Clock} from '../types/runtime.js';

/** An entry of the own failure domain without news hears so this often. */
const SAME_DOMAIN_HEARTBEAT_MS = 300;
/** The same in another domain. */
const OTHER_DOMAIN_HEARTBEAT_MS = 1_000;
/**
 * Datagrams to other failure domains in a second. To read as many takes less
 * than a hundredth of a core. With far fewer, long prompts would go to engines
 * that others have filled since.
 */
const OTHER_DOMAIN_DATAGRAMS_PER_S = 200;

export interface LoadBroadcast {
  /** The load has changed; `isLong` where a long read was added. */
  loadChanged(hasLongRead: boolean): void;
  /** Says that this entry is there where nothing else has said so. */
  heartbeat(): void;
  stop: Cancel;
}

export interface LoadBroadcastOptions<Peer> {
  readonly clock: Clock;
  /** Entries of the own failure domain. */
  sameDomainPeers(): readonly Peer[];
  otherDomainPeers(): readonly Peer[];
  /** Sends the load as it is now. */
  send(peers: readonly Peer[]): void;
}

/** How often `beat` is to be called, in milliseconds. */
export const HEARTBEAT_MS = SAME_DOMAIN_HEARTBEAT_MS;

export function createLoadBroadcast<Peer>(
  options: LoadBroadcastOptions<Peer>,
): LoadBroadcast {
  const {
    clock,
    sameDomainPeers: near,
    otherDomainPeers: far,
    send: tell,
  } = options;
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
    tell(peers);
  };
  const scheduleOtherDomains = (delayMs: number): void => {
    cancelScheduled ??= clock.after(delayMs, () => sendToOtherDomains(far()));
  };
  const sendToOtherDomainsInBudget = (hasLongRead: boolean): void => {
    const peers = far();
    accrue(Math.max(OTHER_DOMAIN_DATAGRAMS_PER_S, peers.length));
    // A debt of one round: a burst of long prompts must not lift the budget.
    const requiredBudget = hasLongRead ? 0 : peers.length;
    if (budget >= requiredBudget) sendToOtherDomains(peers);
    else
      scheduleOtherDomains(
        ((requiredBudget - budget) / OTHER_DOMAIN_DATAGRAMS_PER_S) * 1_000,
      );
  };
  const sendToSameDomain = (): void => {
    sameDomainSentAt = clock.now();
    tell(near());
  };

  return {
    loadChanged: hasLongRead => {
      sendToSameDomain();
      sendToOtherDomainsInBudget(hasLongRead);
    },
    heartbeat: () => {
      const now = clock.now();
      if (now - sameDomainSentAt >= SAME_DOMAIN_HEARTBEAT_MS)
        sendToSameDomain();
      if (now - otherDomainsSentAt >= OTHER_DOMAIN_HEARTBEAT_MS)
        sendToOtherDomains(far());
    },
    stop: () => cancelScheduled?.(),
  };
}
