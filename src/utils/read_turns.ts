/**
 * Bounds how much of the event loop the bytes of one party take from all others.
 * Bytes in many small pieces cost far more than their number: a chunk of one byte
 * takes as long as one of 64 KB. Each party may take so many units of work a
 * second. Connections of a party that has taken more are read one at a time, each
 * for one read, and between two such reads the event loop is left to others for
 * several times as long as the last one took. So a sound answer in small pieces
 * comes whole, only later, and a flood takes a bounded share.
 *
 * Work is counted, not timed, to decide who reads in turns: a process that was
 * suspended in the middle of a read would blame the sender.
 */
import type {Socket} from 'node:net';
import type {Clock, Log, Metrics} from '../types/runtime.js';
import {DIRECT_EVENTS} from './events.js';
import {holdReads, releaseReads} from './held_reads.js';

/** Units of work that a party may take in a second: pieces of bodies, mostly. */
const UNITS_PER_S = 20_000;
/** Units that a party may take at once. */
const BURST_UNITS = 40_000;
/** The loop is left to others for so many times as long as a turn took. */
const REST_FACTOR = 2;
const LEAST_REST_MS = 1;
/**
 * Longest time that counts for one unit, in milliseconds. More is time in which
 * the process did not run, or in which the loop served others.
 */
const MAX_UNIT_MS = 0.02;
/** Units from which on a read is one of many pieces. */
const MANY_UNITS = 256;
/** A connection on which nothing comes keeps its turn for so long. */
const TURN_MS = 20;
/** A party that takes no more than its share for so long is read freely again. */
const CALM_MS = 1_000;
/** Parties without a connection are forgotten beyond this number. */
const MAX_PARTIES = 2_000;

/** Whose bytes they are; `name` is an address. */
export interface Party {
  readonly kind: 'replica' | 'store' | 'peer' | 'callers';
  readonly name: string;
}

/** One connection of a party. */
export interface TurnReader {
  /** Notes work on what was read, in units, and how long it took. */
  worked(units: number, tookMs: number): void;
  /** Whether it has had to wait for a turn. */
  isInTurns(): boolean;
  /** It is read freely from now on, by whoever uses the connection next. */
  close(): void;
}

export interface ReadTurns {
  open(party: Party, socket: Socket): TurnReader;
  /** Time that went into reads of many pieces so far, in milliseconds. */
  piecesMs(): number;
}

export interface ReadTurnsOptions {
  readonly clock: Pick<Clock, 'now' | 'after'>;
  readonly log: Log;
  readonly metrics: Metrics;
}

interface PartyState {
  readonly party: Party;
  /** Units that it may still take; below 0, its connections have turns. */
  credit: number;
  creditAt: number;
  readers: number;
  readonly waiting: Set<Waiting>;
  /**
   * Units that it has taken in turns, so that the party with the fewest is next.
   * One that begins to wait starts beside the others.
   */
  taken: number;
  /** Of the present time of turns; undefined while it is read freely. */
  turns: {units: number; since: number; lastAt: number} | undefined;
}

interface Waiting {
  readonly state: PartyState;
  readonly socket: Socket;
  /** Units of the connection so far. */
  units: number;
}

export function createReadTurns(options: ReadTurnsOptions): ReadTurns {
  const {clock, log, metrics} = options;
  const parties = new Map<string, PartyState>();
  /** Parties with waiting connections. */
  const queue = new Set<PartyState>();
  let inTurn: Waiting | undefined;
  let inTurnSince = 0;
  let nextTurnAt = 0;
  /** What the party had taken that had the latest turn. */
  let served = 0;
  let piecesMs = 0;
  let cancelTurn: (() => void) | undefined;

  const stateOf = (party: Party): PartyState => {
    const key = `${party.kind} ${party.name}`;
    const known = parties.get(key);
    if (known !== undefined) return known;
    if (parties.size >= MAX_PARTIES) forgetUnused();
    const state: PartyState = {
      party,
      credit: BURST_UNITS,
      creditAt: clock.now(),
      readers: 0,
      waiting: new Set(),
      taken: 0,
      turns: undefined,
    };
    parties.set(key, state);
    return state;
  };
  const forgetUnused = (): void => {
    for (const [key, {readers}] of parties) {
      if (readers === 0) parties.delete(key);
    }
  };
  const refill = (state: PartyState): void => {
    const now = clock.now();
    const earned = ((now - state.creditAt) * UNITS_PER_S) / 1_000;
    state.credit = Math.min(BURST_UNITS, state.credit + earned);
    state.creditAt = now;
  };
  const beginTurns = (state: PartyState): void => {
    const now = clock.now();
    state.turns = {units: 0, since: now, lastAt: now};
    const {kind, name} = state.party;
    log(DIRECT_EVENTS.turnsBegan, {
      from: kind,
      address: name,
      open: state.readers,
    });
    metrics.count('onyxloft_read_turns_began_total', {from: kind});
  };
  const endTurns = (state: PartyState): void => {
    if (state.turns === undefined) return;
    const {units, since} = state.turns;
    state.turns = undefined;
    const {kind, name} = state.party;
    const heldMs = Math.round(clock.now() - since);
    log(DIRECT_EVENTS.turnsEnded, {from: kind, address: name, units, heldMs});
  };
  const isOverdrawn = (state: PartyState): boolean => {
    refill(state);
    return state.credit < 0 || state.waiting.size > 0;
  };
  const wait = (waiting: Waiting): void => {
    const {state, socket} = waiting;
    holdReads(socket, 'turn');
    state.waiting.add(waiting);
    if (!queue.has(state)) state.taken = Math.max(state.taken, served);
    queue.add(state);
    schedule();
    if (state.turns === undefined) beginTurns(state);
  };
  /** A turn whose end was lost by an error keeps no other from its own. */
  const isInTurn = (): boolean =>
    inTurn !== undefined && clock.now() - inTurnSince <= 2 * TURN_MS;
  const schedule = (): void => {
    if (cancelTurn !== undefined || isInTurn() || queue.size === 0) return;
    const restMs = Math.max(LEAST_REST_MS, nextTurnAt - clock.now());
    cancelTurn = clock.after(restMs, beginTurn, 'turns of reading');
  };
  /** Of the party that has taken least, the connection that has taken least. */
  const takeNext = (): Waiting | undefined => {
    const state = leastOf(queue, it => it.taken);
    if (state === undefined) return undefined;
    served = Math.max(served, state.taken);
    const next = leastOf(state.waiting, it => it.units);
    if (next !== undefined) state.waiting.delete(next);
    if (state.waiting.size === 0) queue.delete(state);
    return next;
  };
  const beginTurn = (): void => {
    cancelTurn = undefined;
    const next = takeNext();
    if (next === undefined) return schedule();
    inTurn = next;
    inTurnSince = clock.now();
    releaseReads(next.socket, 'turn');
    const endSilent = () => endTurn(next);
    cancelSilent = clock.after(TURN_MS, endSilent, 'turn without bytes');
    metrics.count('onyxloft_read_turns_total', {from: next.state.party.kind});
  };
  let cancelSilent = () => {};
  const endTurn = (waiting: Waiting): void => {
    if (inTurn !== waiting) return;
    inTurn = undefined;
    cancelSilent();
    schedule();
  };
  const noteCalm = (state: PartyState): void => {
    const now = clock.now();
    if (state.turns === undefined) return;
    if (state.waiting.size > 0) state.turns.lastAt = now;
    else if (now - state.turns.lastAt > CALM_MS) endTurns(state);
  };

  return {
    piecesMs: () => piecesMs,
    open: (party, socket) => {
      const state = stateOf(party);
      const waiting: Waiting = {state, socket, units: 0};
      let hasWaited = false;
      let isClosed = false;
      const waitForTurn = () => {
        hasWaited = true;
        wait(waiting);
      };
      state.readers++;
      if (isOverdrawn(state)) waitForTurn();
      return {
        worked: (units, tookMs) => {
          refill(state);
          state.credit -= units;
          waiting.units += units;
          const isInTurns = state.turns !== undefined;
          if (state.turns !== undefined) state.turns.units += units;
          state.taken += units;
          const ms = Math.min(tookMs, units * MAX_UNIT_MS);
          if (units >= MANY_UNITS) piecesMs += ms;
          if (isInTurns || state.credit < 0) {
            nextTurnAt = Math.max(nextTurnAt, clock.now()) + ms * REST_FACTOR;
          }
          endTurn(waiting);
          const isWaiting = state.waiting.has(waiting);
          if (!isClosed && !isWaiting && state.credit < 0) waitForTurn();
          noteCalm(state);
        },
        isInTurns: () => hasWaited,
        close: () => {
          if (isClosed) return;
          isClosed = true;
          state.readers--;
          state.waiting.delete(waiting);
          if (state.waiting.size === 0) queue.delete(state);
          releaseReads(socket, 'turn');
          endTurn(waiting);
          if (state.readers === 0) endTurns(state);
        },
      };
    },
  };
}

/** The first item with the smallest value. */
function leastOf<T>(
  items: Iterable<T>,
  valueOf: (item: T) => number,
): T | undefined {
  let least: T | undefined;
  let leastValue = Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value >= leastValue) continue;
    least = item;
    leastValue = value;
  }
  return least;
}
