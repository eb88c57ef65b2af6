/**
 * Chooses among replicas of which some name a request limit. A request is sent
 * to such a replica only with a permit, which all entries share. Without one it
 * goes to another replica, or it is rejected at once with the time at which a
 * permit may be available.
 */
import {MIN_RATE_PER_S} from './limits/request_permits.js';
import {MAX_RETRY_MS} from './limits/permit_ledger.js';
import type {Exchange} from './exchange.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica} from './types.js';

/** Reason of a rejection for which the replicas' limits leave nothing. */
export const LIMITS_REACHED = 'the replicas named their limits';
/**
 * Longest wait for a permit, in milliseconds. A caller that has to wait longer
 * is told at once when to come back.
 */
const MAX_PERMIT_WAIT_MS = 100;
/** Urgency of a request that a replica has begun to answer. */
const BEGUN_URGENCY = -1;
/** Rejected callers come back later by up to this share, at random. */
const RETRY_SPREAD = 0.25;
/** Most replicas that a log line names. */
const MAX_LOGGED = 4;

/** Replicas that may get the request now, and when others may. */
export interface PermittedReplicas {
  readonly open: readonly DirectReplica[];
  /**
   * Time in milliseconds until one of the other replicas may get the request;
   * undefined where there are no others.
   */
  readonly waitMs: number | undefined;
}

/** Permits that a request needs at a replica. */
export interface PermitNeed {
  readonly replicaId: string;
  readonly count: number;
}

function urgencyOf({attempts, owner, route}: Exchange): number {
  return attempts > 0 ? BEGUN_URGENCY : (owner?.priority ?? route.priority);
}

/** Time until the replica may get the request, in milliseconds; 0 for now. */
function waitMsOf(
  {limits, permits}: ServeContext,
  exchange: Exchange,
  replicaId: string,
): number {
  // At a lower limit, permits are granted only to find out whether it still
  // holds. A request that may run only once is not risked for that.
  const limit = limits.limitOf(replicaId);
  const isNearZero = limit !== undefined && limit < MIN_RATE_PER_S;
  if (isNearZero && exchange.route.kind === 'once') return MAX_RETRY_MS;
  return permits.waitMs(replicaId, urgencyOf(exchange));
}

/** Separates the replicas that may get the request now from the others. */
export function permittedOf(
  ctx: ServeContext,
  exchange: Exchange,
  replicas: readonly DirectReplica[],
): PermittedReplicas {
  if (ctx.limits.count() === 0) return {open: replicas, waitMs: undefined};
  const waits = replicas.map(({id}) => waitMsOf(ctx, exchange, id));
  const open = replicas.filter((_, at) => waits[at] === 0);
  const others = waits.filter(waitMs => waitMs > 0);
  return {
    open,
    waitMs: others.length === 0 ? undefined : Math.min(...others),
  };
}

/** Takes the permits; false when a replica granted none. */
export async function takePermits(
  {permits}: ServeContext,
  exchange: Exchange,
  needs: readonly PermitNeed[],
): Promise<boolean> {
  const urgency = urgencyOf(exchange);
  const taken = await Promise.all(
    needs.map(need => permits.take({...need, urgency})),
  );
  return taken.every(isGranted => isGranted);
}

/**
 * Waits for a permit if it comes soon, or if a replica has begun the stream:
 * such a request cannot be rejected as not run. Resolves to false without
 * waiting when the request is to be rejected.
 */
export async function waitForPermit(
  {clock}: ServeContext,
  {mayHaveRun, route}: Exchange,
  waitMs: number,
): Promise<boolean> {
  const isBegun = mayHaveRun && route.streaming;
  if (waitMs > MAX_PERMIT_WAIT_MS && !isBegun) return false;
  const pauseMs = Math.min(waitMs, MAX_PERMIT_WAIT_MS);
  await new Promise<void>(resolve => void clock.after(pauseMs, resolve));
  return true;
}

/**
 * When a rejected caller is to come back, in milliseconds: not before a permit
 * may be available, and not all at the same instant.
 */
export function comeBackMs({random}: ServeContext, waitMs: number): number {
  return waitMs * (1 + RETRY_SPREAD * random.next());
}

/** A replica with a permit, or the time until one may be available. */
export type PermittedChoice<T> =
  | {readonly kind: 'chosen'; readonly chosen: T}
  | {readonly kind: 'none'; readonly retryAfterMs: number | undefined};

/**
 * Chooses a replica and takes a permit for it, until both succeed. `choose`
 * returns undefined when there is nothing to choose from.
 */
export async function choosePermitted<
  T extends {readonly replica: DirectReplica},
>(
  ctx: ServeContext,
  exchange: Exchange,
  candidates: () => readonly DirectReplica[],
  choose: (open: readonly DirectReplica[]) => T | undefined,
): Promise<PermittedChoice<T>> {
  while (!exchange.signal.aborted) {
    const {open, waitMs} = permittedOf(ctx, exchange, candidates());
    const chosen = choose(open);
    if (chosen !== undefined) {
      const need = {replicaId: chosen.replica.id, count: 1};
      const isTaken = await takePermits(ctx, exchange, [need]);
      if (isTaken) return {kind: 'chosen', chosen};
    } else if (
      waitMs === undefined ||
      !(await waitForPermit(ctx, exchange, waitMs))
    ) {
      const retryAfterMs = waitMs && comeBackMs(ctx, waitMs);
      return {kind: 'none', retryAfterMs};
    }
  }
  return {kind: 'none', retryAfterMs: undefined};
}

/**
 * Ids of replicas that are passed over for their limits, for log lines;
 * undefined where there are none.
 */
export function passedOver(
  ctx: ServeContext,
  exchange: Exchange,
): readonly string[] | undefined {
  if (ctx.limits.count() === 0) return undefined;
  const ids = ctx.replicas
    .availableFor(exchange.service)
    .filter(({id}) => waitMsOf(ctx, exchange, id) > 0)
    .map(({id}) => id);
  return ids.length === 0 ? undefined : ids.slice(0, MAX_LOGGED);
}
