/**
 * The store as a process of its own, so that a soak whose own process is late
 * holds back no call to it. It answers each command once the store has carried it
 * out.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {ForeignBytes, startStore} from '../../standins/users_platform/store.js';
import type {StoreMode} from '../../standins/users_platform/store.js';
import {seeded} from '../plan/seeded.js';
import {sharedMsNow} from './shared_clock.js';

/** How the store answers from now on. */
export interface StoreManner {
  readonly mode: StoreMode;
  /** Each answer is late by a time that is drawn between these. */
  readonly lateMs: readonly [number, number];
  /** Of its answers that break off at a drawn byte. */
  readonly cutShare: number;
  /** Of what is drawn. */
  readonly seed: number;
}

/** What the parent asks for; answered under the same number. */
export type StoreCommand = {readonly number: number} & StoreAction;

export type StoreAction =
  | {
      readonly action: 'put';
      readonly kind: string;
      readonly name: string;
      readonly spec: unknown;
    }
  | {
      readonly action: 'put-bytes';
      readonly kind: string;
      readonly name: string;
      readonly text: string;
    }
  | {readonly action: 'remove'; readonly kind: string; readonly name: string}
  | {readonly action: 'behave'; readonly manner: StoreManner}
  | {readonly action: 'look'};

/** What the program sends to its parent. */
export type StoreNews =
  | {readonly news: 'listening'; readonly address: string}
  | {
      readonly news: 'done';
      readonly number: number;
      /** Of the clock that all processes share, in milliseconds. */
      readonly sharedMs: number;
      /** Calls that arrived until then. */
      readonly calls: number;
      /** 99th percentile of the program's own delay, in milliseconds. */
      readonly ownDelayMs: number;
    };

const [, , pageSize] = process.argv;
const store = await startStore(
  pageSize === undefined ? undefined : Number(pageSize),
);
const delay = monitorEventLoopDelay();
delay.enable();
const tell = (it: StoreNews) => process.send?.(it);
const behave = ({mode, lateMs, cutShare, seed}: StoreManner): void => {
  const random = seeded(seed, 0);
  const [least, most] = lateMs;
  store.setLateness(() => least + random.next() * (most - least));
  store.setCut(() =>
    random.next() < cutShare
      ? {share: random.next(), isReset: random.next() < 0.5}
      : undefined,
  );
  store.setMode(mode);
};
const act = (it: StoreAction): void => {
  switch (it.action) {
    case 'put':
      return store.put(it.kind, it.name, it.spec);
    case 'put-bytes':
      return store.put(it.kind, it.name, new ForeignBytes(it.text));
    case 'remove':
      return store.remove(it.kind, it.name);
    case 'behave':
      return behave(it.manner);
    case 'look':
      return;
  }
};
process.on('message', (it: StoreCommand) => {
  act(it);
  const {number} = it;
  const sharedMs = sharedMsNow();
  const ownDelayMs = Math.round(delay.percentile(99) / 1e6);
  const calls = store.calls();
  tell({news: 'done', number, sharedMs, calls, ownDelayMs});
});
process.once('disconnect', () => process.exit(0));
tell({news: 'listening', address: store.address});
