/**
 * Stand-in for the platform's weight store, without any IO: transfers share
 * one rate; those over the limit of transfers at once wait in order.
 */
import type {WeightStoreStatus} from '../src/types/platform.js';
import type {Cancel, Clock} from '../src/types/runtime.js';

/** Faults in force; each may be switched while the store runs. */
export interface WeightStoreFaults {
  /** New transfers and status calls fail; running transfers stand still. */
  readonly outage: boolean;
  /** Factor on the rate. @default 1 */
  readonly rateFactor: number;
}

export interface TransferReq {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
}

export interface Transfer extends TransferReq {
  readonly id: string;
  readonly state: 'queued' | 'active' | 'done' | 'cancelled';
  readonly doneBytes: number;
}

export interface WeightStoreCore {
  /** Starts a transfer; undefined during an outage. */
  start(req: TransferReq): Transfer | undefined;
  get(id: string): Transfer | undefined;
  cancel(id: string): void;
  /** Resolves when the transfer is done or cancelled. */
  whenOver(id: string): Promise<void>;
  /** Undefined during an outage. */
  status(): WeightStoreStatus | undefined;
  faults(): WeightStoreFaults;
  setFaults(faults: Partial<WeightStoreFaults>): void;
}

export interface WeightStoreCoreOptions {
  readonly clock: Clock;
  /** Shared by all transfers. @default 2000000000 */
  readonly bytesPerSec?: number;
  /** Transfers at once. @default 4 */
  readonly maxActive?: number;
}

interface Entry {
  readonly req: TransferReq;
  state: Transfer['state'];
  doneBytes: number;
  readonly over: Promise<void>;
  readonly end: () => void;
}

export function createWeightStoreCore(
  options: WeightStoreCoreOptions,
): WeightStoreCore {
  const {clock, bytesPerSec = 2e9, maxActive = 4} = options;
  const entries = new Map<string, Entry>();
  let faults: WeightStoreFaults = {outage: false, rateFactor: 1};
  let nextId = 1;
  let updatedAt = clock.now();
  let cancelTimer: Cancel = () => undefined;

  const inState = (state: Transfer['state']) =>
    [...entries.values()].filter(entry => entry.state === state);

  const rate = () => (faults.outage ? 0 : bytesPerSec * faults.rateFactor);

  const rateOfEach = () => rate() / 1_000 / inState('active').length;

  const finish = (entry: Entry, state: 'done' | 'cancelled') => {
    entry.state = state;
    entry.end();
  };

  const progress = () => {
    const elapsedMs = clock.now() - updatedAt;
    updatedAt = clock.now();
    const moved = rateOfEach() * elapsedMs;
    for (const entry of inState('active')) {
      entry.doneBytes = Math.min(entry.req.bytes, entry.doneBytes + moved);
      // Half a byte covers what rounding leaves.
      if (entry.req.bytes - entry.doneBytes < 0.5) finish(entry, 'done');
    }
  };

  const schedule = () => {
    const free = maxActive - inState('active').length;
    for (const entry of inState('queued').slice(0, free)) {
      entry.state = 'active';
    }
    cancelTimer();
    const left = inState('active').map(e => e.req.bytes - e.doneBytes);
    if (left.length === 0 || rate() === 0) return;
    cancelTimer = clock.after(Math.min(...left) / rateOfEach(), update);
  };

  const update = () => {
    progress();
    schedule();
  };

  const view = (id: string, entry: Entry): Transfer => ({
    ...entry.req,
    id,
    state: entry.state,
    doneBytes: Math.floor(entry.doneBytes),
  });

  return {
    start: req => {
      if (faults.outage) return undefined;
      progress();
      let end = () => undefined as void;
      const over = new Promise<void>(resolve => (end = resolve));
      const entry: Entry = {req, state: 'queued', doneBytes: 0, over, end};
      const id = String(nextId++);
      entries.set(id, entry);
      schedule();
      return view(id, entry);
    },
    get: id => {
      progress();
      const entry = entries.get(id);
      return entry === undefined ? undefined : view(id, entry);
    },
    cancel: id => {
      progress();
      const entry = entries.get(id);
      if (entry === undefined || entry.state === 'done') return;
      finish(entry, 'cancelled');
      schedule();
    },
    whenOver: async id => entries.get(id)?.over,
    status: () => {
      if (faults.outage) return undefined;
      return {
        bytesPerSec: rate(),
        activeTransfers: inState('active').length,
        queuedTransfers: inState('queued').length,
      };
    },
    faults: () => faults,
    setFaults: change => {
      progress();
      faults = {...faults, ...change};
      schedule();
    },
  };
}
