/**
 * Declares the options and the shared state of the `runs` service. All parts
 * of the service receive one `SideCore`, which is created anew at each start
 * of the service. The functions here derive limits and health from that state.
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

/** Client of the side's upstream: a model engine or a plain service. */
export type SideUpstream =
  | {readonly kind: 'engine'; readonly client: EngineClient}
  | {readonly kind: 'service'; readonly client: ServiceClient};

/** Reads the highest fencing number ever issued. */
export type ReadFence = () => Promise<Either<OnyxError, FencingNumber>>;

/** Options of the `runs` service. */
export interface RunsOptions {
  readonly upstream: SideUpstream;
  readonly node: NodeId;
  /** Identifies this process start; chosen at random by each process. */
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
  /** Length classes that apply until a configuration is known. */
  readonly lengthClasses?: readonly LengthClass[];
}

/** The upstream's state according to its latest load report. */
export interface UpstreamView {
  /** Clock time of the latest report; undefined before the first report. */
  lastReportAt: number | undefined;
  /** Age of the latest report when it arrived. */
  reportAgeMs: number;
  /** Models on the engine; empty for a plain service. */
  models: readonly ModelState[];
  /**
   * The engine holds no runs of earlier incarnations any more. Always true for
   * a plain service.
   */
  reconciled: boolean;
}

/** Shared state of the parts of the `runs` service. */
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
  /** Newest accepted configuration; undefined until one has arrived. */
  config: NumberedDeclarations | undefined;
  /** The side is draining and accepts no new offers. */
  leaving: boolean;
  /** Highest fencing number seen. */
  fence: FencingNumber;
  /** The fencing number was read from the placer's lease since the start. */
  fenceKnown: boolean;
  /** The scheduler must run because a waiting run may be able to start. */
  queueChanged: boolean;
}

/** A single length class for all prompts; used until one is configured. */
const SINGLE_CLASS: readonly LengthClass[] = [
  {
    name: 'any',
    maxTokens: Number.MAX_SAFE_INTEGER,
    memoryFloor: 0,
    maxRunning: 0,
    defaultTimeLimitMs: 60_000,
  },
];

/** The length classes in force, shortest first. */
export function lengthClassesOf(core: SideCore): readonly LengthClass[] {
  const declared = core.config?.declarations.lengthClasses ?? [];
  if (declared.length > 0) return declared;
  return core.options.lengthClasses ?? SINGLE_CLASS;
}

/** Maximum number of concurrent runs on the upstream. */
export function maxConcurrentRuns(core: SideCore): number {
  if (core.options.upstream.kind === 'engine') return core.bounds.maxRunning;
  const declared = core.config?.declarations.services.find(
    service => service.pool === core.options.pool,
  );
  return declared?.maxRunning ?? core.bounds.maxRunning;
}

/**
 * Whether the upstream cannot take runs: no recent report, an engine without
 * capacity, or an engine that is not reconciled yet.
 */
export function isUpstreamDown(core: SideCore): boolean {
  const {lastReportAt, reconciled} = core.upstream;
  const isEngine = core.options.upstream.kind === 'engine';
  if (isEngine && core.memory.capacity() === 0) return true;
  if (lastReportAt === undefined || !reconciled) return true;
  return core.ctx.clock.now() - lastReportAt > core.timing.upstreamDownMs;
}
