/**
 * Entries with the limits service in virtual time, under a load of requests.
 * The test sets which entries each of them sees in its membership views.
 */
import type {Either} from 'purify-ts';
import {createLimitsService} from '../../src/limits/limits.js';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import type {Declarations} from '../../src/types/config.js';
import type {OnyxError} from '../../src/types/errors.js';
import type {GrantRes} from '../../src/types/peer_messages.js';
import type {EntryPeer, MembershipView} from '../../src/types/services.js';
import {rendezvousFirst} from '../../src/utils/rendezvous.js';
import {createMemoryNetwork} from '../../standins/memory_network.js';
import {createPausableClock} from '../../standins/pausable_clock.js';
import type {PausableClock} from '../../standins/pausable_clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from './seeded_random.js';
import {createVirtualClock} from './virtual_clock.js';

export const ORGANISATION = 'prairie';

/** Size of the fleet, and the limits of the organisation. */
export interface LimitsFleetOptions {
  readonly entries: number;
  readonly maxRunning: number;
  readonly tokensPerSec?: number;
  readonly seed?: number;
}

/** Requests that arrive at one entry. */
export interface RequestLoad {
  /** Mean arrivals per second, at random times. */
  readonly perSec: number;
  /**
   * Mean running time of a request. Each takes a random time from half of it to
   * one and a half times it.
   */
  readonly holdMs: number;
  /** Tokens of each request. */
  readonly tokens: number;
}

/** An entry, with counts of what it admitted and refused. */
export interface LimitsEntry {
  readonly address: string;
  readonly node: string;
  readonly clock: PausableClock;
  readonly kernel: Kernel;
  running: number;
  admitted: number;
  tokens: number;
  readonly refusals: OnyxError[];
  setMembership: (view: MembershipView) => void;
  isUp: boolean;
}

function declarations(options: LimitsFleetOptions): Declarations {
  const {maxRunning, tokensPerSec = 1e9} = options;
  const organisation = {
    id: ORGANISATION,
    keyHashes: [],
    weight: 1,
    maxRunning,
    tokensPerSec,
  };
  // The limits service reads no other field of the declarations.
  return {organisations: [organisation]} as unknown as Declarations;
}

/** Starts the entries. All see each other as live. */
export async function createLimitsFleet(options: LimitsFleetOptions) {
  const shared = createVirtualClock();
  const random = createSeededRandom(options.seed ?? 1);
  const network = createMemoryNetwork(shared, random);
  const entries: LimitsEntry[] = [];
  const runtime = createRecordingRuntime({clock: shared, random});

  const startEntry = async (index: number): Promise<LimitsEntry> => {
    const address = `10.0.0.${index + 1}:7300`;
    const clock = createPausableClock(shared);
    const kernel = createKernel({...runtime.runtime, clock});
    const transport = network.transport(address);
    const node = `entry-${index}`;
    const entry: LimitsEntry = {
      address,
      node,
      clock,
      kernel,
      running: 0,
      admitted: 0,
      tokens: 0,
      refusals: [],
      setMembership: () => undefined,
      isUp: true,
    };
    await kernel.start({
      name: 'config',
      start: ctx => {
        void ctx.mailbox.observe(message => {
          if (message.kind !== 'subscribe') return;
          message.listener({number: 1, declarations: declarations(options)});
        });
      },
    });
    await kernel.start({
      name: 'membership',
      start: ctx => {
        void ctx.mailbox.observe(message => {
          if (message.kind === 'subscribe')
            entry.setMembership = message.listener;
        });
      },
    });
    await kernel.start(createLimitsService({node, address, transport}));
    await transport.listen(address, {
      grant: req =>
        kernel.ask('limits', (reply: (res: GrantRes) => void) => ({
          kind: 'grant',
          req,
          reply,
        })),
    });
    return entry;
  };

  for (let index = 0; index < options.entries; index++) {
    entries.push(await startEntry(index));
  }
  await shared.settle();

  /** Sends an entry a membership view that shows the others in these states. */
  const setPeerStates = (
    to: LimitsEntry,
    stateOf: (entry: LimitsEntry) => EntryPeer['state'],
  ): void => {
    const peers = entries
      .filter(entry => entry !== to)
      .map(entry => ({
        node: entry.node,
        address: entry.address,
        failureDomain: 'hall-north',
        incarnation: '1',
        state: stateOf(entry),
        configNumber: 1,
        fence: 0,
      }));
    to.setMembership({replicas: [], allSides: [], entries: peers});
  };
  for (const entry of entries) setPeerStates(entry, () => 'live');
  await shared.runFor(10_000);

  let peak = 0;
  let isStopped = false;
  const running = (): number =>
    entries.reduce((sum, entry) => sum + (entry.isUp ? entry.running : 0), 0);

  /** Sends one request of this load to the entry. */
  const request = (entry: LimitsEntry, load: RequestLoad): void => {
    const asked = entry.kernel.ask(
      'limits',
      (reply: (outcome: Either<OnyxError, void>) => void) => ({
        kind: 'acquire',
        organisation: ORGANISATION,
        tokens: load.tokens,
        reply,
      }),
    );
    // A service that ends while it owes an answer, as when the fleet stops,
    // rejects the promise.
    const answered = asked.catch((err: unknown) => {
      if (!isStopped) throw err;
      return undefined;
    });
    void answered.then(outcome => {
      if (!entry.isUp || outcome === undefined) return;
      outcome.caseOf({
        Left: err => void entry.refusals.push(err),
        Right: () => {
          entry.running++;
          entry.admitted++;
          entry.tokens += load.tokens;
          peak = Math.max(peak, running());
          entry.clock.after(load.holdMs * (0.5 + random.next()), () => {
            entry.running--;
            entry.kernel.send('limits', {
              kind: 'release',
              organisation: ORGANISATION,
            });
          });
        },
      });
    });
  };

  /** Sends requests to the entry until the returned function is called. */
  const startLoad = (entry: LimitsEntry, load: RequestLoad): (() => void) => {
    let ended = false;
    const next = (): void => {
      const gapMs = (-Math.log(1 - random.next()) * 1_000) / load.perSec;
      entry.clock.after(gapMs, () => {
        if (ended) return;
        request(entry, load);
        next();
      });
    };
    next();
    return () => {
      ended = true;
    };
  };

  /**
   * Most requests that ran at once over all entries in the next `ms`
   * milliseconds.
   */
  const peakOver = async (ms: number): Promise<number> => {
    peak = running();
    await shared.runFor(ms);
    return peak;
  };

  /** Stops the entry's clock and network, as when its host fails. */
  const kill = (entry: LimitsEntry): void => {
    entry.isUp = false;
    entry.clock.stop();
    network.faults.down(entry.address);
  };

  /** The organisation's home among these entries. */
  const homeOf = (among: readonly LimitsEntry[]): LimitsEntry => {
    const nodes = among.map(entry => ({id: entry.node, entry}));
    const best = rendezvousFirst(`limits ${ORGANISATION}`, nodes);
    if (best === undefined) throw new Error('there are no entries');
    return best.entry;
  };

  return {
    entries,
    faults: network.faults,
    runtime,
    clock: shared,
    show: setPeerStates,
    request,
    startLoad,
    peakOver,
    running,
    kill,
    homeAmong: homeOf,
    asks: () => network.callCount('grant'),
    stop: async () => {
      isStopped = true;
      for (const entry of entries) await entry.kernel.stop();
    },
  };
}
