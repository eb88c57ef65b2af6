/**
 * Keeps a record in the store of the newest settled era: one in which operators
 * have had time to repeat the writes that a restore from an older copy lost.
 *
 * A running entry notices a restore by itself. An entry that starts afterwards
 * cannot. Where no peer is left to report the restore, only this record shows
 * it, because its era is then older than the one in the store's answers. The
 * configuration in the store may then lack an acknowledged removal of a key.
 */
import type {Either} from 'purify-ts';
import type {Cancel, Clock, Log, Random} from '../types/runtime.js';
import {createGuard, toProcess} from '../utils/callback_guard.js';
import type {StepOwner} from '../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';
import {faultFields} from './followed/collection.js';
import type {StoreFault} from './followed/collection.js';
import type {DirectStore} from './types.js';

/** Pause between attempts of a failed call, in milliseconds. */
const RETRY_MS = 300;
/**
 * Entries record an era at random times within this period, in milliseconds,
 * because all of them notice a restore at the same moment.
 */
const RECORD_SPREAD_MS = 2_000;

export interface SettledEraOptions extends StepOwner {
  readonly store: Pick<DirectStore, 'settledEra' | 'recordSettledEra'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /**
   * Whether the whole system starts for the first time, so that nothing can be
   * lost.
   */
  readonly isBootstrap: boolean;
  currentEra(): StoreEra;
  /** The recorded era is the store's current era. */
  onSettled(): void;
  /** The recorded era is older than the store's, or there is no record. */
  onUnsettled(): void;
}

export interface SettledEra {
  /** Reads the record. Call it once, when the store's era is known. */
  lookUp(): void;
  isSettled(): boolean;
  /**
   * Records the current era as settled after this delay, unless the store's era
   * has changed by then.
   */
  settleAfter(delayMs: number): void;
  stop: Cancel;
}

export function createSettledEra(options: SettledEraOptions): SettledEra {
  const {store, clock, random, log} = options;
  const guard = createGuard(options.onError ?? toProcess);
  let recorded: StoreEra;
  let isStopped = false;

  const isSettled = (): boolean =>
    recorded !== undefined && !isOlderEra(recorded, options.currentEra());

  /**
   * Repeats the call until it succeeds; resolves to undefined when stopped
   * meanwhile.
   */
  const callUntilAnswered = async <T>(
    step: string,
    call: () => Promise<Either<StoreFault, T>>,
  ): Promise<T | undefined> => {
    while (!isStopped) {
      const answer = await call();
      if (answer.isRight()) return answer.unsafeCoerce();
      answer.ifLeft(fault =>
        log(DIRECT_EVENTS.storeCallFailed, {...faultFields(fault), step}),
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
    if (isStopped || options.currentEra() !== era) return;
    await read();
    if (!isStopped && isOlderEra(recorded ?? -1, era)) await record(era);
  };

  /**
   * Entries that start in an era without a record refuse keys at first, so an
   * error repeats it.
   */
  const settleUntilDone = guard('settling of an era', async (era: number) => {
    try {
      await settle(era);
    } catch (err) {
      if (!isStopped) clock.after(RETRY_MS, () => settleUntilDone(era));
      throw err;
    }
  });
  /** Without it no key would ever be confirmed, so an error repeats it. */
  const lookUpUntilDone = guard('look-up of the settled era', async () => {
    try {
      await lookUp();
    } catch (err) {
      if (!isStopped) clock.after(RETRY_MS, lookUpUntilDone);
      throw err;
    }
  });

  return {
    lookUp: lookUpUntilDone,
    isSettled,
    settleAfter: delayMs => {
      const era = options.currentEra();
      if (era === undefined) return;
      const spreadMs = random.next() * RECORD_SPREAD_MS;
      clock.after(
        delayMs + spreadMs,
        () => isStopped || settleUntilDone(era),
        'settling of an era',
      );
    },
    stop: () => {
      isStopped = true;
    },
  };
}
