/**
 * The placer's own look at all sides. An entry follows a bounded subset of
 * them; a placer that saw no more would place within that subset alone, and
 * take a version for missing that runs everywhere else. So it asks the others
 * as well, each once in a period, spread evenly. Only the placer does: one
 * process at a time pays for it.
 */
import type {
  Address,
  ConfigNumber,
  FencingNumber,
  Incarnation,
  NodeId,
} from '../types/ids.js';
import type {SideHeartbeatRes} from '../types/peer_messages.js';
import type {Cancel, Clock} from '../types/runtime.js';
import type {Replica} from '../types/services.js';
import type {Transport} from '../types/transport.js';

/** Pause between two questions, so that the rate does not grow. */
const GAP_MS = 50;
const SHORTEST_PERIOD_MS = 2_000;
const LONGEST_PERIOD_MS = 30_000;
/** The first pass carries the new number to all sides: it is quicker. */
const FIRST_PASS_MS = 5_000;
const TIMEOUT_MS = 1_000;
/** Pause between questions to a side with an order under way. */
const WATCH_MS = 2_000;

export interface SurveySelf {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  /** Where this entry listens for peers. */
  readonly address: Address;
}

export interface SurveyOptions {
  readonly self: SurveySelf;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly fence: () => FencingNumber;
  readonly configNumber: () => ConfigNumber;
  /** Sides to be asked: those that heartbeats do not go to. */
  readonly sides: () => readonly Address[];
  readonly onCrash: (cause: unknown) => void;
}

export interface Survey {
  /** Forgets what is known and begins the first pass. */
  start(): void;
  stop(): void;
  /** Asks these more often: their orders' effects are waited for. */
  watch(addresses: readonly Address[]): void;
  /** Whether each side was asked since the start. */
  isComplete(): boolean;
  replicas(): readonly Replica[];
}

/** Makes a survey that is not started. */
export function createSurvey(options: SurveyOptions): Survey {
  const {clock, transport, self} = options;
  const known = new Map<Address, Replica>();
  const askedAt = new Map<Address, number>();
  let cancelNext: Cancel = () => undefined;
  /** Answers to the questions of an earlier start are dropped. */
  let round = 0;

  const take = (address: Address, res: SideHeartbeatRes, sentAt: number) => {
    known.set(address, {
      ...res,
      host: '',
      address,
      state: res.leaving ? 'leaving' : 'live',
      loadAt: sentAt,
      rttMs: clock.now() - sentAt,
    });
  };

  const lose = (address: Address) => {
    const before = known.get(address);
    if (before !== undefined) known.set(address, {...before, state: 'suspect'});
  };

  const ask = async (address: Address) => {
    const started = round;
    const sentAt = clock.now();
    askedAt.set(address, sentAt);
    const req = {
      entry: self.node,
      entryIncarnation: self.incarnation,
      entryAddress: self.address,
      configNumber: options.configNumber(),
      fence: options.fence(),
      owned: [],
    };
    const res = await transport.call(address, 'sideHeartbeat', req, TIMEOUT_MS);
    if (started !== round) return;
    res.caseOf({
      Left: () => lose(address),
      Right: side => take(address, side, sentAt),
    });
  };

  const askSafely = (address: Address) => {
    ask(address).catch(options.onCrash);
  };

  const forget = (sides: readonly Address[]) => {
    const present = new Set(sides);
    for (const address of askedAt.keys()) {
      if (present.has(address)) continue;
      askedAt.delete(address);
      known.delete(address);
    }
  };

  /** The one whose last question lies longest back. */
  const oldest = (sides: readonly Address[]): Address | undefined => {
    let best: Address | undefined;
    for (const address of sides) {
      const at = askedAt.get(address) ?? -Infinity;
      if (best === undefined || at < (askedAt.get(best) ?? -Infinity)) {
        best = address;
      }
    }
    return best;
  };

  const isComplete = () => options.sides().every(side => askedAt.has(side));

  const gapMs = (count: number) => {
    if (count === 0) return SHORTEST_PERIOD_MS;
    const usual = Math.min(
      LONGEST_PERIOD_MS,
      Math.max(SHORTEST_PERIOD_MS, count * GAP_MS),
    );
    return (isComplete() ? usual : Math.min(usual, FIRST_PASS_MS)) / count;
  };

  const next = () => {
    const sides = options.sides();
    forget(sides);
    const address = oldest(sides);
    if (address !== undefined) askSafely(address);
    cancelNext = clock.after(gapMs(sides.length), next);
  };

  const stop = () => {
    round += 1;
    cancelNext();
    known.clear();
    askedAt.clear();
  };

  return {
    start: () => {
      stop();
      next();
    },
    stop,
    watch: addresses => {
      const sides = new Set(options.sides());
      for (const address of addresses) {
        const sinceMs = clock.now() - (askedAt.get(address) ?? 0);
        if (sides.has(address) && sinceMs >= WATCH_MS) askSafely(address);
      }
    },
    isComplete,
    replicas: () => [...known.values()],
  };
}
