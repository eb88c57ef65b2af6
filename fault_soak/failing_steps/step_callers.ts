/**
 * Callers that use a connection until it closes, with calls and streams, pauses
 * between them, and some that leave; and checks of readiness.
 */
import {get} from 'node:http';
import {KEY} from '../../standins/users_platform/deployment.js';
import {useConnection, watchLocalEnd} from '../kept_connection.js';
import type {KeptOutcome, KeptRequest} from '../kept_connection.js';
import type {Draw} from '../odd_wires/draws.js';
import {DEADLINE_MS} from '../odd_wires/honest_callers.js';

const PATHS = ['/again/a', '/again/a', '/once/a', '/open/a', '/stream/a'];
const LEAVES_SHARE = 0.1;
const LONGEST_STAY_MS = 300;
/** Idle connections, shorter than the limit for them. */
const IDLE_SHARE = 0.05;
const LONGEST_IDLE_MS = 2_500;
const MEAN_PAUSE_MS = 40;
const CHECK_LIMIT_MS = 1_000;

/** What a caller got. */
export interface StepOutcome extends Pick<
  KeptOutcome<KeptRequest>,
  | 'connection'
  | 'isTaken'
  | 'sentAt'
  | 'endedAt'
  | 'status'
  | 'hasRetryAfter'
  | 'isWhole'
  | 'hasLeft'
> {
  /** Undefined where no request was sent. */
  readonly id: string | undefined;
  readonly path: string | undefined;
  readonly entry: number;
}

/** A check of readiness; no status where there was no answer. */
export type ReadyCheck = Pick<
  StepOutcome,
  'entry' | 'connection' | 'sentAt' | 'endedAt' | 'status'
>;

export interface StepCaller {
  readonly entry: number;
  /** IP:PORT. */
  readonly address: string;
  readonly draw: Draw;
  nextId(): string;
  isOver(): boolean;
  onEnd(outcome: StepOutcome): void;
}

/** Uses one connection until it ends; always resolves. */
export function callAndLeave(caller: StepCaller): Promise<void> {
  const {entry, address, draw, nextId, isOver, onEnd} = caller;
  return useConnection({
    address,
    nextRequest: () => ({
      id: nextId(),
      path: draw.one(PATHS),
      headers: [`Authorization: Token ${KEY}`],
      deadlineMs: DEADLINE_MS,
      leavesAfterMs: draw.chance(LEAVES_SHARE)
        ? draw.below(LONGEST_STAY_MS)
        : undefined,
    }),
    pauseMs: () =>
      draw.chance(IDLE_SHARE)
        ? draw.below(LONGEST_IDLE_MS)
        : draw.below(2 * MEAN_PAUSE_MS),
    isOver,
    onEnd: ({request, ...rest}) =>
      onEnd({...rest, id: request?.id, path: request?.path, entry}),
  });
}

/** One check, as the load balancer makes it. */
export function checkReady(
  entry: number,
  address: string,
): Promise<ReadyCheck> {
  const sentAt = performance.now();
  let localEnd: () => string | undefined = () => undefined;
  return new Promise(resolve => {
    const end = (status?: number) => {
      const endedAt = performance.now();
      resolve({entry, connection: localEnd(), sentAt, endedAt, status});
    };
    const url = `http://${address}/api/ready`;
    const req = get(url, {agent: false, timeout: CHECK_LIMIT_MS}, res => {
      res.resume();
      res.once('close', () => end(res.statusCode));
    });
    req.once('socket', socket => {
      localEnd = watchLocalEnd(socket);
    });
    req.once('timeout', () => req.destroy());
    req.once('error', () => end());
  });
}
