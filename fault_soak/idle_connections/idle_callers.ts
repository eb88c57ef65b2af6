/**
 * Callers that keep connections and reuse them after idle times that are aimed
 * at the moments at which an entry may close them. They go by the limits that
 * they can know.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';
import type {DelayLink} from './delay_link.js';
import {createIdleConnection} from './idle_connection.js';
import type {Asked, Cut, IdleConnection, Seen} from './idle_connection.js';
import {REUSE_SHARE, reusableMs, safeLimit} from './limit_history.js';
import type {LimitHistory} from './limit_history.js';

/** An entry may close connections so long after their limit. */
const MARGINS_MS = [0, 1_000, 2_000, 2_250, 2_500];
const AIM_SPREAD_MS = 40;
const SHORTEST_IDLE_MS = 300;
/** Earlier limits of so many versions are aimed at. */
const AIMED_VERSIONS = 6;
const AIMED_SHARE = 0.6;
const STATED_SHARE = 0.2;
const STREAM_SHARE = 0.2;
const PAIR_SHARE = 0.15;
const CUT_SHARE = 0.12;
const LARGE_SHARE = 0.3;
/** Share of the limit of a head or a body that a large one takes. */
const LARGE_PART = 0.8;
const SMALL_HEAD_BYTES = 300;
const SMALL_BODY_BYTES = 8;
const RETRY_MS = 200;
const POLL_MS = 50;

export interface CallerShape {
  readonly entry: number;
  readonly link: DelayLink;
  /** Whether the caller goes by the time that answers state. */
  readonly heedsStated: boolean;
  readonly random: Random;
  /** The largest idle limit of the run. */
  readonly largestIdleMs: number;
  history(): LimitHistory;
  nextId(): string;
  /** Whether the platform sends its entry new connections. */
  isInRotation(): boolean;
  isOver(): boolean;
  onSeen(seen: Seen): void;
}

/** Uses one connection after the other until the run is over. */
export async function callInSeries(shape: CallerShape): Promise<void> {
  const {link, random, isOver} = shape;
  while (!isOver()) {
    const openedAt = performance.now();
    const opened = shape.isInRotation() ? await link.open() : undefined;
    if (opened === undefined) {
      await sleep(RETRY_MS);
      continue;
    }
    const connection = createIdleConnection(opened, openedAt);
    await useUntilClosed(shape, connection);
    connection.destroy();
    // Else the callers of one moment would flood their entry together.
    await sleep(2 * RETRY_MS * random.next());
  }
}

/** Uses a connection once, and then waits for the entry to close it. */
export async function sit(
  shape: CallerShape,
  longestMs: () => number,
): Promise<'closed' | 'kept' | 'over'> {
  const openedAt = performance.now();
  const opened = await shape.link.open();
  if (opened === undefined) return 'over';
  const connection = createIdleConnection(opened, openedAt);
  await exchange(shape, connection);
  while (connection.closedAt() === undefined && !shape.isOver()) {
    if (performance.now() - connection.idleFrom() > longestMs()) break;
    await sleep(POLL_MS);
  }
  const isClosed = connection.closedAt() !== undefined;
  connection.destroy();
  if (isClosed) return 'closed';
  return shape.isOver() ? 'over' : 'kept';
}

async function useUntilClosed(
  shape: CallerShape,
  connection: IdleConnection,
): Promise<void> {
  do {
    await exchange(shape, connection);
    await beIdle(shape, connection);
  } while (connection.isOpen() && mayReuse(shape, connection));
}

async function exchange(
  shape: CallerShape,
  connection: IdleConnection,
): Promise<void> {
  const count = shape.random.next() < PAIR_SHARE ? 2 : 1;
  const asked = Array.from({length: count}, () => drawRequest(shape));
  (await connection.send(asked)).forEach(shape.onSeen);
}

async function beIdle(
  shape: CallerShape,
  connection: IdleConnection,
): Promise<void> {
  const targetMs = drawIdleMs(shape, connection.statedMs());
  const endsAt = connection.idleFrom() + targetMs;
  while (connection.isOpen() && !shape.isOver()) {
    const leftMs = endsAt - performance.now();
    if (leftMs <= 0) return;
    await sleep(Math.min(leftMs, POLL_MS));
  }
}

function mayReuse(shape: CallerShape, connection: IdleConnection): boolean {
  const {history, heedsStated, isOver} = shape;
  const now = performance.now();
  const idleMs = now - connection.idleFrom();
  const stated = heedsStated ? connection.statedMs() : undefined;
  return (
    !isOver() &&
    idleMs <= reusableMs(history(), now) &&
    idleMs <= (stated ?? Infinity)
  );
}

function drawIdleMs(shape: CallerShape, statedMs: number | undefined): number {
  const {random, largestIdleMs, heedsStated, link} = shape;
  const longestMs = Math.min(
    REUSE_SHARE * largestIdleMs,
    heedsStated && statedMs !== undefined ? statedMs : Infinity,
  );
  const uniform = () =>
    SHORTEST_IDLE_MS + random.next() * (longestMs - SHORTEST_IDLE_MS);
  const drawn = random.next();
  if (drawn < STATED_SHARE) {
    return Math.max(longestMs - random.next() * AIM_SPREAD_MS, 0);
  }
  if (drawn > STATED_SHARE + AIMED_SHARE) return uniform();
  const limits = shape.history().slice(-AIMED_VERSIONS);
  const {idleTimeoutMs} = oneOf(limits, random).limits;
  const spreadMs = 2 * (link.delayMs + AIM_SPREAD_MS);
  const aimMs =
    idleTimeoutMs +
    oneOf(MARGINS_MS, random) +
    AIM_SPREAD_MS -
    random.next() * spreadMs;
  return aimMs > longestMs ? uniform() : aimMs;
}

function drawRequest(shape: CallerShape): Asked {
  const {random, history, nextId} = shape;
  const now = performance.now();
  const limit = (name: Parameters<typeof safeLimit>[1]) =>
    safeLimit(history(), name, now);
  const isLarge = () => random.next() < LARGE_SHARE;
  const cuts: readonly Cut[] = ['in-head', 'in-body'];
  return {
    id: nextId(),
    kind: random.next() < STREAM_SHARE ? 'stream' : 'once',
    cut: random.next() < CUT_SHARE ? oneOf(cuts, random) : 'none',
    pauseMs: (0.1 + 0.5 * random.next()) * limit('headerTimeoutMs'),
    headBytes: isLarge()
      ? Math.floor(LARGE_PART * limit('maxHeaderBytes'))
      : SMALL_HEAD_BYTES,
    bodyBytes: isLarge()
      ? Math.floor(LARGE_PART * limit('maxBodyBytes'))
      : SMALL_BODY_BYTES,
  };
}

function oneOf<T>(all: readonly T[], random: Random): T {
  return all[Math.floor(random.next() * all.length)];
}
