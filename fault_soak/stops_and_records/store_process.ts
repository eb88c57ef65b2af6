/** The store as a process of its own, as a soak uses it. */
import {fork} from 'node:child_process';
import {join} from 'node:path';
import {ForeignBytes} from '../../standins/users_platform/store.js';
import {sharedMsNow} from './shared_clock.js';
import type {
  StoreAction,
  StoreCommand,
  StoreManner,
  StoreNews,
} from './store_program.js';

/** This module runs from the build folder, or as source. */
const PROGRAM_DIR = import.meta.filename.endsWith('.ts')
  ? join(import.meta.dirname, '..', '..', 'dist', 'fault_soak')
  : join(import.meta.dirname, '..');
const PROGRAM = join(PROGRAM_DIR, 'stops_and_records', 'store_program.js');

/** Writes are carried out in the order of the calls. */
export interface StoreProcess {
  readonly address: string;
  /** Resolves with the steady time at which the store had written it. */
  put(kind: string, name: string, spec: unknown): Promise<number>;
  /** Resolves with the steady time at which the store had removed it. */
  remove(kind: string, name: string): Promise<number>;
  /** Resolves with the steady time from which it answers so. */
  behave(manner: StoreManner): Promise<number>;
  look(): Promise<StoreLook>;
  close(): Promise<void>;
}

export interface StoreLook {
  /** Calls that arrived, whatever became of them. */
  readonly calls: number;
  /** 99th percentile of its own delay, in milliseconds. */
  readonly ownDelayMs: number;
}

interface Done extends StoreLook {
  /** Steady time. */
  readonly at: number;
}

/** Lists come in pages of so many objects. */
export async function startStoreProcess(
  pageSize?: number,
): Promise<StoreProcess> {
  const child = fork(PROGRAM, pageSize === undefined ? [] : [`${pageSize}`]);
  const exited = new Promise<void>(resolve => {
    child.once('exit', () => resolve());
  });
  const waiting = new Map<number, (done: Done) => void>();
  let sent = 0;
  const address = await new Promise<string>((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', code =>
      reject(new Error(`the store ended with ${code}`)),
    );
    child.on('message', (it: StoreNews) => {
      if (it.news === 'listening') return resolve(it.address);
      const at = it.sharedMs - sharedMsNow() + performance.now();
      waiting.get(it.number)?.({...it, at});
      waiting.delete(it.number);
    });
  });
  const command = (action: StoreAction): Promise<Done> =>
    new Promise(resolve => {
      const it: StoreCommand = {number: ++sent, ...action};
      waiting.set(it.number, resolve);
      child.send(it);
    });
  return {
    address,
    put: async (kind, name, spec) => {
      const {at} = await command(
        spec instanceof ForeignBytes
          ? {action: 'put-bytes', kind, name, text: spec.text}
          : {action: 'put', kind, name, spec},
      );
      return at;
    },
    remove: async (kind, name) => {
      const {at} = await command({action: 'remove', kind, name});
      return at;
    },
    behave: async manner => {
      const {at} = await command({action: 'behave', manner});
      return at;
    },
    look: () => command({action: 'look'}),
    close: async () => {
      child.disconnect();
      await exited;
    },
  };
}
