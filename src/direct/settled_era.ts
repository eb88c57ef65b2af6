/**
 * The record in the store of the newest era in which operators had the time to
 * write again what a return from an older copy had lost.
 *
 * An entry that runs sees a return by itself. One that starts after it cannot;
 * where no other entry is left to tell of it, only this record, which then is
 * of an older era than the store's answers, shows that the configuration there
 * may lack a key's removal that was acknowledged.
 */
import type {Either} from 'purify-ts';
import type {Cancel, Clock, Log, Random} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';
import type {DirectStore, StoreFault} from './types.js';

/** Between tries of a call that failed. */
const RETRY_MS = 300;
/** Over which entries record an era: all see a return in the same instant. */
const RECORD_SPREAD_MS = 2_000;

export interface SettledEraOptions {
  readonly store: Pick<DirectStore, 'settledEra' | 'recordSettledEra'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** The whole system starts for the first time: nothing can be lost. */
  readonly isBootstrap: boolean;
  currentEra(): StoreEra;
  /** The record is of the store's era. */
  onSettled(): void;
  /** It is of an older one, or missing. */
  onUnsettled(): void;
}

export interface SettledEra {
  /** Reads the record; once, when the store's era is known. */
  lookUp(): void;
  isSettled(): boolean;
  /** What was lost has been written again, if this is still the store's era. */
  settleAfter(delayMs: number): void;
  stop: Cancel;
}

export function createSettledEra(options: SettledEraOptions): SettledEra {
  const {store, clock, random, log} = options;
  let recorded: StoreEra;
  let isStopped = false;

  const isSettled = (): boolean =>
    recorded !== undefined && !isOlderEra(recorded, options.currentEra());

  /** Undefined when stopped meanwhile. */
  const callUntilAnswered = async <T>(
    step: string,
    call: () => Promise<Either<StoreFault, T>>,
  ): Promise<T | undefined> => {
    while (!isStopped) {
      const answer = await call();
      if (answer.isRight()) return answer.unsafeCoerce();
      answer.ifLeft(({message}) =>
        log(DIRECT_EVENTS.storeCallFailed, {step, message}),
      );
      await new Promise<void>(resolve => void clock.after(RETRY_MS, resolve));
    }
    return undefined;
  };
  const read = async (): Promise<void> => {
    const step = 'read settled era';
    const answer = await callUntilAnswered(step, store.settledEra);
    recorded = answer?.era;
  };
  const record = async (era: number): Promise<void> => {
    const step = 'record settled era';
    await callUntilAnswered(step, () => store.recordSettledEra(era));
    recorded = era;
    log(DIRECT_EVENTS.eraSettled, {era});
  };

  const lookUp = async (): Promise<void> => {
    await read();
    const era = options.currentEra();
    if (isStopped || era === undefined) return;
    if (recorded === undefined && options.isBootstrap) await record(era);
    if (isStopped) return;
    if (isSettled()) return options.onSettled();
    log(DIRECT_EVENTS.eraUnsettled, {era, recorded});
    options.onUnsettled();
  };
  const settle = async (era: number): Promise<void> => {
    if (options.currentEra() !== era) return;
    await read();
    if (!isStopped && isOlderEra(recorded ?? -1, era)) await record(era);
  };

  return {
    lookUp: () => void lookUp(),
    isSettled,
    settleAfter: delayMs => {
      const era = options.currentEra();
      if (era === undefined) return;
      const spreadMs = random.next() * RECORD_SPREAD_MS;
      clock.after(delayMs + spreadMs, () => isStopped || void settle(era));
    },
    stop: () => {
      isStopped = true;
    },
  };
}
