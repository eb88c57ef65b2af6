/**
 * What the parts of the `runs` service share: its context, its settings and
 * its state. Made anew at each start of the service.
 */
import type {Either} from 'purify-ts';
import type {LengthClass, NumberedDeclarations} from '../types/config.js';
import type {OnyxError} from '../types/errors.js';
import type {
  FailureDomain,
  FencingNumber,
  Incarnation,
  NodeId,
  PoolId,
} from '../types/ids.js';
import type {ServiceContext} from '../types/kernel.js';
import type {ModelState} from '../types/peer_messages.js';
import type {EngineClient, ServiceClient} from '../types/upstream.js';
import type {RatePriors, LearnedRates} from './learned_rates.js';
import type {MemoryLedger} from './memory_ledger.js';
import type {OutputLengths} from './output_lengths.js';
import type {QueuePolicy} from './queue_policy.js';
import type {RunTable} from './run_table.js';
import type {SideBounds, SideTiming} from './timing.js';
import type {Tombstones} from './tombstones.js';

export type SideUpstream =
  | {readonly kind: 'engine'; readonly client: EngineClient}
  | {readonly kind: 'service'; readonly client: ServiceClient};

/** Reads the highest fencing number ever given out. */
export type ReadFence = () => Promise<Either<OnyxError, FencingNumber>>;

export interface RunsOptions {
  readonly upstream: SideUpstream;
  readonly node: NodeId;
  /** Random at each process start. */
  readonly incarnation: Incarnation;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly queuePolicy: QueuePolicy;
  readonly readFence: ReadFence;
  /** @default DEFAULT_SIDE_TIMING */
  readonly timing?: Partial<SideTiming>;
  /** @default DEFAULT_SIDE_BOUNDS */
  readonly bounds?: Partial<SideBounds>;
  /** @default DEFAULT_RATE_PRIORS */
  readonly priors?: Partial<RatePriors>;
  /** Length classes until a configuration is known. */
  readonly lengthClasses?: readonly LengthClass[];
}

/** What was last heard of the upstream. */
export interface UpstreamView {
  /** When it last answered; undefined before the first time. */
  lastReportAt: number | undefined;
  reportAgeMs: number;
  models: readonly ModelState[];
  /** Runs of earlier incarnations were freed. */
  reconciled: boolean;
}

export interface SideCore {
  readonly ctx: ServiceContext<'runs'>;
  readonly options: RunsOptions;
  readonly incarnation: Incarnation;
  readonly timing: SideTiming;
  readonly bounds: SideBounds;
  readonly table: RunTable;
  readonly tombstones: Tombstones;
  readonly memory: MemoryLedger;
  readonly rates: LearnedRates;
  readonly lengths: OutputLengths;
  readonly upstream: UpstreamView;
  config: NumberedDeclarations | undefined;
  leaving: boolean;
  /** Highest fencing number seen. */
  fence: FencingNumber;
  /** The lease was read after the start. */
  fenceKnown: boolean;
  /** A run may be startable since the last look at the queue. */
  queueChanged: boolean;
}

/** One class for all, until a configuration is known. */
const SINGLE_CLASS: readonly LengthClass[] = [
  {
    name: 'any',
    maxTokens: Number.MAX_SAFE_INTEGER,
    memoryFloor: 0,
    maxRunning: 0,
    defaultTimeLimitMs: 60_000,
  },
];

export function lengthClassesOf(core: SideCore): readonly LengthClass[] {
  const declared = core.config?.declarations.lengthClasses ?? [];
  if (declared.length > 0) return declared;
  return core.options.lengthClasses ?? SINGLE_CLASS;
}

/** Runs at once on the upstream. */
export function maxConcurrentRuns(core: SideCore): number {
  if (core.options.upstream.kind === 'engine') return core.bounds.maxRunning;
  const declared = core.config?.declarations.services.find(
    service => service.pool === core.options.pool,
  );
  return declared?.maxRunning ?? core.bounds.maxRunning;
}

export function isUpstreamDown(core: SideCore): boolean {
  const {lastReportAt, reconciled} = core.upstream;
  const isEngine = core.options.upstream.kind === 'engine';
  if (isEngine && core.memory.capacity() === 0) return true;
  if (lastReportAt === undefined || !reconciled) return true;
  return core.ctx.clock.now() - lastReportAt > core.timing.upstreamDownMs;
}
