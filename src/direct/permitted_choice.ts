/**
 * Chooses among the replicas that may get a request now, as the gate tells. A
 * replica that names a request limit gets it only with a permit, which all
 * entries share. Where no replica may get it, the request waits a moment, or it
 * is rejected at once with the time at which one may.
 */
import type {LogFields} from '../types/runtime.js';
import type {Exchange} from './exchange.js';
import type {
  ClosedCause,
  GateRequest,
  WithdrawalCause,
} from './gate/replica_gate.js';
import type {CandidateGroups, ServeContext} from './serve_context.js';
import type {DirectReplica} from './types.js';

/** Reason of a rejection because all replicas are closed for the cause. */
const REJECTION_REASONS: Readonly<Record<ClosedCause, string>> = {
  leaving: 'the replicas are shutting down',
  paused: 'the replicas asked for a pause',
  limited: 'the replicas named their limits',
  evacuated: 'the failure domains of the replicas are evacuated',
  cold: 'the replicas have just started',
};
/** Why an attempt was ended before the replica had the request. */
export const TAKEN_BACK_REASONS: Readonly<Record<WithdrawalCause, string>> = {
  paused: 'the replica asked for a pause',
  evacuated: 'the failure domain is evacuated',
};
/** Why an attempt was not made at a replica that had been selected for it. */
export const CLOSED_REASON = 'the replica has closed meanwhile';
/** Why nothing was sent to a replica that may yet open again. */
export const WITHDRAWN_REASONS: ReadonlySet<string> = new Set([
  CLOSED_REASON,
  ...Object.values(TAKEN_BACK_REASONS),
]);
/**
 * Longest wait for a replica to open, in milliseconds. A caller that has to wait
 * longer is told at once when to come back.
 */
const MAX_WAIT_MS = 100;
/**
 * A request waits longer for the end of a pause if that comes within this share
 * of its latency objective: it is then still answered on time.
 */
const PAUSE_WAIT_AIM_SHARE = 0.5;
/**
 * A request waits this long for a cold replica, in milliseconds, if that is
 * more than the share of its objective. It covers three attempts to ask a home
 * that is silent, since the replica itself may have room.
 */
const COLD_WAIT_MS = 1_000;
/** Most of its time limit that it waits; the rest is for the answer. */
const COLD_WAIT_LIMIT_SHARE = 0.5;
/** Earliest time to come back after a pause, in milliseconds. */
const MIN_PAUSE_RETRY_MS = 250;
/** Urgency of a request that a replica has begun to answer. */
const BEGUN_URGENCY = -1;
/** Rejected callers come back later by up to this share, at random. */
const RETRY_SPREAD = 0.25;
/** Most replicas that a log line names. */
const MAX_LOGGED = 4;

/** Why no replica may get a request, and when one may. */
export interface Closed {
  readonly cause: ClosedCause;
  /** In milliseconds. */
  readonly waitMs: number;
}

/** Replicas that may get the request now. */
export interface PermittedReplicas {
  readonly open: readonly DirectReplica[];
  /** Of the replicas that may not; undefined where all may. */
  readonly closed: Closed | undefined;
}

/** Permits that a request needs at a replica. */
export interface PermitNeed {
  readonly replicaId: string;
  readonly count: number;
}

/** What the gate needs to know of the exchange. */
export function gateRequestOf({
  arrivedAt,
  attempts,
  owner,
  route,
}: Exchange): GateRequest {
  const urgency =
    attempts > 0 ? BEGUN_URGENCY : (owner?.priority ?? route.priority);
  return {
    arrivedAt,
    urgency,
    isOnce: route.kind === 'once',
    hasRetry: attempts + 1 < route.maxAttempts,
  };
}

/**
 * The replicas that may get the request now, of the first group that has any,
 * so that a healthy replica that is closed does not hide an open one with
 * recent failures.
 */
export function permittedOf(
  ctx: ServeContext,
  exchange: Exchange,
  groups: CandidateGroups,
): PermittedReplicas {
  const asked = groups.map(group => permittedInGroup(ctx, exchange, group));
  return {
    open: asked.find(({open}) => open.length > 0)?.open ?? [],
    closed: asked
      .map(({closed}) => closed)
      .reduce((known, next) => soonerOf(known, next), undefined),
  };
}

/**
 * Separates the replicas that may get the request now from the others. Those of
 * last resort may get it only where no other may.
 */
function permittedInGroup(
  {gate}: ServeContext,
  exchange: Exchange,
  replicas: readonly DirectReplica[],
): PermittedReplicas {
  if (gate.isOpenToAll()) return {open: replicas, closed: undefined};
  const req = gateRequestOf(exchange);
  const open: DirectReplica[] = [];
  const lastResorts: DirectReplica[] = [];
  let closed: Closed | undefined;
  for (const replica of replicas) {
    const answer = gate.ask(replica.id, req);
    if (answer.kind === 'open') open.push(replica);
    else if (answer.kind === 'last-resort') lastResorts.push(replica);
    else closed = soonerOf(closed, answer);
  }
  return {open: open.length > 0 ? open : lastResorts, closed};
}

/**
 * When a successor starts and when an evacuation ends is only assumed, so any
 * other time is preferred.
 */
function soonerOf(
  known: Closed | undefined,
  next: Closed | undefined,
): Closed | undefined {
  if (known === undefined || next === undefined) return known ?? next;
  const isGuess = ({cause}: Closed) =>
    cause === 'leaving' || cause === 'evacuated';
  if (isGuess(known) !== isGuess(next)) return isGuess(known) ? next : known;
  return next.waitMs < known.waitMs ? next : known;
}

/** Takes the permits; false when a replica granted none. */
export async function takePermits(
  {permits}: ServeContext,
  exchange: Exchange,
  needs: readonly PermitNeed[],
): Promise<boolean> {
  const {urgency} = gateRequestOf(exchange);
  const taken = await Promise.all(
    needs.map(need => permits.take({...need, urgency})),
  );
  return taken.every(isGranted => isGranted);
}

/**
 * Waits if a replica opens soon, or if one has begun the stream: such a request
 * cannot be rejected as not run. Resolves to false without waiting when the
 * request is to be rejected.
 */
export async function waitForOpening(
  {clock}: ServeContext,
  exchange: Exchange,
  closed: Closed,
): Promise<boolean> {
  const isBegun = exchange.mayHaveRun && exchange.route.streaming;
  if (!isBegun && !opensSoon(exchange, closed)) return false;
  const pauseMs = Math.min(closed.waitMs, MAX_WAIT_MS);
  await new Promise<void>(resolve => void clock.after(pauseMs, resolve));
  return true;
}

/** Whether a replica opens so soon that the request had better wait for it. */
function opensSoon(
  {elapsedMs, route}: Exchange,
  {cause, waitMs}: Closed,
): boolean {
  if (cause !== 'paused' && cause !== 'cold') return waitMs <= MAX_WAIT_MS;
  const coldMs = Math.min(
    COLD_WAIT_MS,
    COLD_WAIT_LIMIT_SHARE * route.timeLimitMs,
  );
  const leastMs = cause === 'cold' ? coldMs : MAX_WAIT_MS;
  const maxMs = Math.max(leastMs, PAUSE_WAIT_AIM_SHARE * route.aimMs);
  return elapsedMs() + waitMs <= maxMs;
}

/** Why a request is rejected, and when its caller is to come back. */
export interface Rejection {
  readonly reason: string;
  /**
   * In milliseconds: not before a replica may open, and not the same for all
   * callers.
   */
  readonly retryAfterMs: number;
}

export function rejectionOf(
  {random}: ServeContext,
  {cause, waitMs}: Closed,
): Rejection {
  const minMs = cause === 'paused' ? MIN_PAUSE_RETRY_MS : 0;
  const spread = 1 + RETRY_SPREAD * random.next();
  return {
    reason: REJECTION_REASONS[cause],
    retryAfterMs: Math.max(minMs, waitMs) * spread,
  };
}

/** A replica with a permit, or why there is none. */
export type PermittedChoice<T> =
  | {readonly kind: 'chosen'; readonly chosen: T}
  | {readonly kind: 'none'; readonly rejection: Rejection | undefined};

/**
 * Chooses a replica and takes a permit for it, until both succeed or none is
 * needed any more. `choose` returns undefined when there is nothing to choose
 * from.
 */
export async function choosePermitted<
  T extends {readonly replica: DirectReplica},
>(
  ctx: ServeContext,
  exchange: Exchange,
  candidates: () => CandidateGroups,
  choose: (open: readonly DirectReplica[]) => T | undefined,
  isNeeded = () => !exchange.signal.aborted,
): Promise<PermittedChoice<T>> {
  while (isNeeded()) {
    const {open, closed} = permittedOf(ctx, exchange, candidates());
    const chosen = choose(open);
    if (chosen !== undefined) {
      const need = {replicaId: chosen.replica.id, count: 1};
      const isTaken = await takePermits(ctx, exchange, [need]);
      if (isTaken) return {kind: 'chosen', chosen};
    } else if (
      closed === undefined ||
      !(await waitForOpening(ctx, exchange, closed))
    ) {
      return {kind: 'none', rejection: closed && rejectionOf(ctx, closed)};
    }
  }
  return {kind: 'none', rejection: undefined};
}

/**
 * Replicas that could not be chosen beside the chosen one, and why, for log
 * lines; undefined where there are none.
 */
export function passedOver(
  {gate, replicas}: ServeContext,
  exchange: Exchange,
  chosenId: string,
): readonly LogFields[] | undefined {
  if (gate.isOpenToAll()) return undefined;
  const req = gateRequestOf(exchange);
  const found: LogFields[] = [];
  for (const {id} of replicas.availableFor(exchange.service)) {
    const answer = gate.ask(id, req);
    if (answer.kind === 'open' || id === chosenId) continue;
    found.push({replica: id, cause: answer.cause});
    if (found.length === MAX_LOGGED) break;
  }
  return found.length === 0 ? undefined : found;
}
