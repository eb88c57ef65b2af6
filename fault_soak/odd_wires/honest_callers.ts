/** Callers in order on connections that they keep, and what they got. */
import {useConnection} from '../kept_connection.js';
import type {KeptRequest, ReadSoFar} from '../kept_connection.js';

/** Time that a caller gives a request. */
export const DEADLINE_MS = 8_000;

export const KINDS = [
  'again',
  'once',
  'stream',
  'odd-call',
  'odd-stream',
] as const;
export type RequestKind = (typeof KINDS)[number];

/** What a caller got for one request. Times are steady milliseconds. */
export interface Outcome extends Pick<
  ReadSoFar,
  'status' | 'seal' | 'body' | 'isWhole' | 'surplus'
> {
  readonly id: string;
  readonly kind: RequestKind;
  readonly entry: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

export interface HonestCaller {
  readonly entry: number;
  /** IP:PORT. */
  readonly address: string;
  drawKind(): RequestKind;
  nextId(): string;
  /** Time until its next request, in milliseconds. */
  pauseMs(): number;
  isOver(): boolean;
  onEnd(outcome: Outcome): void;
}

/** Uses one connection until it ends; always resolves. */
export function callInOrder(caller: HonestCaller): Promise<void> {
  const {entry, address, pauseMs, isOver, onEnd} = caller;
  return useConnection<KeptRequest & Pick<Outcome, 'kind'>>({
    address,
    nextRequest: () => {
      const kind = caller.drawKind();
      return {
        kind,
        id: caller.nextId(),
        path: `/${kind}/x`,
        headers: ['X-Token-Usage: 1000,100'],
        deadlineMs: DEADLINE_MS,
      };
    },
    pauseMs,
    isOver,
    onEnd: ({request, ...rest}) => {
      if (request === undefined) return;
      const {id, kind} = request;
      onEnd({...rest, id, kind, entry});
    },
  });
}
