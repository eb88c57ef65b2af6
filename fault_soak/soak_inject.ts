/** Injects faults into a running fleet, and takes each back. */
import type {RelayFaults} from '../standins/relay_core.js';
import {configOf} from '../standins/users_platform/deployment.js';
import type {Fault, RestoreStore, ServerLimit} from './faults.js';
import type {PoisonPart, PoisonRequest} from './poison_faults.js';
import type {Evacuator} from './soak_evacuations.js';
import type {SoakFleet} from './soak_fleet.js';
import type {Span} from './soak_replica.js';
import {TIMING} from './soak_fleet.js';
import {SERVICE_COLD} from './soak_replica.js';
import type {Violation} from './soak_judge.js';

/** An entry may end this much after its grace period. */
const END_SLACK_MS = 1_000;

/** Evidence for keys is over its bound well before the cut ends. */
const CUT_AT_REMOVAL_MS = 2 * TIMING.revokeMs;

/** What takes a link's faults back; silent connections stay silent. */
export const LINK_WELL: RelayFaults = {
  refuse: false,
  delayMs: 0,
  pieces: null,
  cut: 'none',
};

export interface Injector {
  inject(fault: Fault): void;
  /** Takes back all that is still in force, and waits for entries to start. */
  heal(): Promise<void>;
  /** The key that callers are to use now, and those taken away. */
  readonly keys: SoakKeys;
  /** Store and link to it have been well for `forMs`. */
  reachesStore(entry: number, forMs: number): boolean;
  /** Whether the store or the link had a fault between the times. */
  isStoreHarmed(entry: number, from: number, to: number): boolean;
}

export interface SoakKeys {
  current(): string;
  /** All that were ever good. */
  all(): readonly string[];
  revokedAt(key: string): number | undefined;
}

export function createInjector(
  fleet: SoakFleet,
  blame: (violation: Violation) => void,
  beginPoison: (fault: PoisonRequest | PoisonPart) => void,
  evacuator: Evacuator,
): Injector {
  const undoing = new Map<object, () => void>();
  const ends = new Set<Promise<unknown>>();
  const revoked = new Map<string, number>();
  const keyOf = (number: number) => `key-${number}`;
  const good = new Set([keyOf(1)]);
  /** Last state of each replica, as it wrote it. */
  const states = new Map<number, string>();
  /** When store and links were harmed last, or Infinity while they are. */
  const harmed = createHarm(fleet.entries.length);
  let issued = 1;
  let version = 1;

  const later = (forMs: number, undo: () => void) => {
    const token = {};
    const run = () => {
      undoing.delete(token);
      undo();
    };
    const timer = setTimeout(run, forMs);
    undoing.set(token, () => {
      clearTimeout(timer);
      run();
    });
  };

  const endEntry = async (at: number) => {
    const entry = fleet.entries[at];
    const hadStarted = entry.hasStarted();
    const {code, tookMs} = await entry.end();
    // Node ends at once on a signal before the program has set its handler;
    // nothing can be in flight then.
    if (!hadStarted) return;
    const limitMs = TIMING.graceS * 1_000 + END_SLACK_MS;
    if (code === 0 && tookMs <= limitMs) return;
    blame({
      promise: 'a drained entry ends by itself, within its grace period',
      id: entry.name,
      detail: `code ${code} after ${Math.round(tookMs)} ms`,
    });
  };

  const keep = (work: Promise<unknown>) => {
    ends.add(work);
    void work.finally(() => ends.delete(work));
  };

  const downAndUp = (at: number, down: Promise<unknown>, forMs: number) => {
    keep(down);
    later(forMs, () => keep(down.then(() => fleet.entries[at].start())));
  };

  const putConfig = () =>
    fleet.store.put(
      'config',
      'main',
      configOf(version, [...good], SERVICE_COLD),
    );
  const writeConfig = () => {
    version += 1;
    putConfig();
  };
  /**
   * Old and new key are good together for a while. When the old one goes, one
   * entry is cut off from the store, in turn, for longer than keys may count
   * without its word.
   */
  const rotateKey = (forMs: number) => {
    const older = [...good];
    issued += 1;
    good.add(keyOf(issued));
    writeConfig();
    later(forMs, () => {
      for (const key of older) good.delete(key);
      const link = fleet.storeLinks[issued % fleet.storeLinks.length];
      link.apply({refuse: true});
      const end = harmed.begin(issued % fleet.storeLinks.length);
      later(CUT_AT_REMOVAL_MS, () => {
        link.apply(LINK_WELL);
        end();
      });
      writeConfig();
      const now = performance.now();
      for (const key of older) {
        if (!revoked.has(key)) revoked.set(key, now);
      }
    });
  };

  const list = (at: number, state: string) => {
    states.set(at, state);
    fleet.list(fleet.replicas[at], state);
  };
  // A newer version may have been written in between; it is not undone.
  const writeAgain = ({operatorMs, replicaMs}: RestoreStore) => {
    later(operatorMs, () => {
      putConfig();
      evacuator.writeAgain();
    });
    replicaMs.forEach((ms, at) =>
      later(ms, () => list(at, states.get(at) ?? 'ready')),
    );
  };
  const restoreStore = (fault: RestoreStore) => {
    const {store} = fleet;
    const copy = store.copy();
    later(fault.forMs, () => {
      const end = harmed.beginAll();
      store.setMode('silent');
      later(fault.awayMs, () => {
        store.restore(copy);
        store.setMode('well');
        end();
        evacuator.storeRestored();
        writeAgain(fault);
      });
    });
  };

  /** Replicas that name limits now, with what began last at each. */
  const limiting = new Map<number, ServerLimit>();
  const nameLimits = (fault: ServerLimit) => {
    const replica = fleet.replicas[fault.replica];
    limiting.set(fault.replica, fault);
    const isCurrent = () => limiting.get(fault.replica) === fault;
    for (const {afterMs, perSecond} of fault.steps) {
      later(afterMs, () => isCurrent() && replica.limit(perSecond));
    }
    later(fault.forMs, () => {
      if (!isCurrent()) return;
      limiting.delete(fault.replica);
      replica.limit(undefined);
    });
  };

  const inject = (fault: Fault): void => {
    const {entries, replicas, storeLinks, store} = fleet;
    switch (fault.kind) {
      case 'pause-entry':
        entries[fault.entry].pause();
        return later(fault.forMs, () => entries[fault.entry].wake());
      case 'kill-entry':
        return downAndUp(fault.entry, entries[fault.entry].kill(), fault.forMs);
      case 'end-entry':
        return downAndUp(fault.entry, endEntry(fault.entry), fault.forMs);
      case 'kill-all-entries':
        entries.forEach((entry, at) =>
          downAndUp(at, entry.kill(), fault.forMs),
        );
        return;
      case 'step-clock':
        return entries[fault.entry].stepClock();
      case 'store-mode':
        store.setMode(fault.mode);
        return later(
          fault.forMs,
          andEnd(() => store.setMode('well'), harmed.beginAll()),
        );
      case 'forget-history':
        return store.forgetHistory();
      case 'store-link': {
        const link = storeLinks[fault.entry];
        link.apply(fault.faults);
        const end = harmed.begin(fault.entry);
        return later(
          fault.forMs,
          andEnd(() => link.apply(LINK_WELL), end),
        );
      }
      case 'replica-link': {
        const replica = replicas[fault.replica];
        replica.link.apply(fault.faults);
        const end = replica.beginLinkHarm();
        return later(
          fault.forMs,
          andEnd(() => replica.link.apply(LINK_WELL), end),
        );
      }
      case 'replica':
        replicas[fault.replica].become(fault.how);
        return later(fault.forMs, () =>
          replicas[fault.replica].become(undefined),
        );
      case 'replica-leaves':
        list(fault.replica, 'draining');
        return later(fault.forMs, () => list(fault.replica, 'ready'));
      case 'rotate-key':
        return rotateKey(fault.forMs);
      case 'restore-store':
        return restoreStore(fault);
      case 'poison-request':
      case 'poison-part':
        return beginPoison(fault);
      case 'server-limit':
        return nameLimits(fault);
      case 'cold-replica':
        return replicas[fault.replica].startCold();
      case 'server-leaving':
        return later(fault.forMs, replicas[fault.replica].leave());
      case 'retry-after': {
        const turning = fault.replicas.map(at => replicas[at]);
        const ends = turning.map(it => it.turnAway(fault.pauseS));
        return later(fault.forMs, () => ends.forEach(end => end()));
      }
      case 'evacuation':
        return later(fault.forMs, evacuator.begin(fault.domains));
    }
  };

  return {
    inject,
    heal: async () => {
      // Taking one back may begin another: a key goes, and a link is cut.
      while (undoing.size > 0) for (const undo of undoing.values()) undo();
      while (ends.size > 0) await Promise.allSettled([...ends]);
      await Promise.all(fleet.entries.map(entry => entry.start()));
    },
    reachesStore: (entry, forMs) =>
      performance.now() - harmed.lastAt(entry) > forMs,
    isStoreHarmed: harmed.isHarmed,
    keys: {
      current: () => keyOf(issued),
      all: () => Array.from({length: issued}, (_, at) => keyOf(at + 1)),
      revokedAt: key => revoked.get(key),
    },
  };
}

function andEnd(undo: () => void, end: () => void): () => void {
  return () => {
    undo();
    end();
  };
}

/** When each entry's way to the store was harmed last. */
function createHarm(entries: number) {
  const open = Array.from({length: entries}, () => 0);
  const endedAt = Array.from({length: entries}, () => -Infinity);
  const spans = Array.from({length: entries}, (): Span[] => []);
  const begin = (entry: number) => {
    const span = {from: performance.now(), to: Infinity};
    spans[entry].push(span);
    open[entry] += 1;
    return () => {
      open[entry] -= 1;
      endedAt[entry] = performance.now();
      span.to = endedAt[entry];
    };
  };
  return {
    begin,
    beginAll: () => {
      const ends = open.map((_, entry) => begin(entry));
      return () => ends.forEach(end => end());
    },
    isHarmed: (entry: number, from: number, to: number) =>
      spans[entry].some(span => span.from < to && span.to > from),
    lastAt: (entry: number) => (open[entry] > 0 ? Infinity : endedAt[entry]),
  };
}
