/**
 * Policies side by side: real entries and sides with stand-in engines on a
 * virtual clock, over the same arrivals for each policy in turn. Engine
 * figures are the assumed ones of `standins/engine_figures.ts`.
 *
 * `npm run bench -- policy [--json FILE] [--seed N] [--seconds N]
 *  [--deployment NAME] [--scenario NAME,…] [--policy NAME;…] [--plots FOLDER]`
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {parse} from 'jsonc-parser';
import type {KeyedDeclarations} from '../src/config/declarations_schema.js';
import {fromKeyed} from '../src/config/keyed_form.js';
import type {Declarations} from '../src/types/config.js';
import {DEPLOYMENTS, makeArrivals} from './policy_mix.js';
import type {Arrival, Deployment} from './policy_mix.js';
import {printScenario} from './policy_print.js';
import {writePlots} from './policy_plots.js';
import {runPolicy} from './policy_run.js';
import type {RunResult} from './policy_run.js';
import {
  figuresOf,
  firstTokensOf,
  percentilesOf,
  scoreOf,
} from './policy_stats.js';
import type {Figures} from './policy_stats.js';
import {SCENARIOS} from './policy_scenarios.js';
import type {Scenario} from './policy_scenarios.js';
import {VARIANTS} from './policy_variants.js';
import type {Variant} from './policy_variants.js';

export interface BenchSettings {
  readonly seed: number;
  readonly durationMs: number;
}

export interface PolicyRow {
  readonly policy: string;
  readonly baseline: boolean;
  readonly figures: Figures;
  readonly score: number;
  /** Times to first token in milliseconds, sorted, for the plots. */
  readonly shortMs: readonly number[];
  readonly over100kMs: readonly number[];
  /** Recovery after the loss of engines, in seconds; NaN if not reached. */
  readonly recoverySec?: number;
}

export interface ScenarioResult {
  readonly deployment: string;
  readonly scenario: string;
  readonly requestsPerSec: number;
  readonly aloneP95Ms: number;
  readonly rows: readonly PolicyRow[];
}

export interface Capacity {
  readonly requestsPerSec: number;
  /** Rates tried and the share of time that engines were busy. */
  readonly tried: readonly {
    readonly requestsPerSec: number;
    readonly busyShare: number;
  }[];
}

/** Policies of the scenarios that leave out the others. */
const COMPARED = ['least requests, fcfs', 'ours'];
/** First rate tried, per engine; the second follows from what it showed. */
const FIRST_GUESS_PER_ENGINE = 0.55;
/** Engines of the second try should be this busy. */
const NEAR_FULL = 0.9;
/** Window of the recovery figure, in milliseconds. */
const RECOVERY_WINDOW_MS = 10_000;

export function declarationsOf(deployment: Deployment): Declarations {
  const file = `examples/${deployment.folder}/declarations.jsonc`;
  const keyed = parse(readFileSync(file, 'utf8'), [], {
    allowTrailingComma: true,
  }) as KeyedDeclarations;
  return fromKeyed(keyed);
}

export function arrivalsOf(
  deployment: Deployment,
  settings: BenchSettings,
  requestsPerSec: number,
): readonly Arrival[] {
  return makeArrivals({
    deployment,
    seed: settings.seed,
    requestsPerSec,
    durationMs: settings.durationMs,
    organisations: declarationsOf(deployment).organisations.length,
  });
}

export function runVariant(
  deployment: Deployment,
  variant: Variant,
  arrivals: readonly Arrival[],
  settings: BenchSettings,
  scenario?: Scenario,
): Promise<RunResult> {
  return runPolicy({
    deployment,
    seed: settings.seed + 1,
    declarations: variant.declare(declarationsOf(deployment)),
    routing: variant.routing,
    queue: variant.queue,
    priors: variant.priors,
    reports: scenario?.reports ?? 'none',
    arrivals,
    durationMs: settings.durationMs,
    loseHalfAtMs: scenario?.loseHalf ? settings.durationMs / 2 : undefined,
  });
}

/** The rate at which engines would be busy all the time, from two tries. */
export async function measureCapacity(
  deployment: Deployment,
  settings: BenchSettings,
): Promise<Capacity> {
  const variant = variantNamed('ours');
  const tryRate = async (requestsPerSec: number) => {
    const arrivals = arrivalsOf(deployment, settings, requestsPerSec);
    const {busyShare} = await runVariant(
      deployment,
      variant,
      arrivals,
      settings,
    );
    return {requestsPerSec, busyShare};
  };
  const first = await tryRate(FIRST_GUESS_PER_ENGINE * deployment.replicas);
  const rate = (first.requestsPerSec / first.busyShare) * NEAR_FULL;
  const second = await tryRate(rate);
  return {
    requestsPerSec: second.requestsPerSec / second.busyShare,
    tried: [first, second],
  };
}

/** The short prompts' 95th percentile when nothing else arrives. */
export async function measureAlone(
  deployment: Deployment,
  arrivals: readonly Arrival[],
  settings: BenchSettings,
): Promise<number> {
  const short = arrivals.filter(one => one.promptTokens <= 8_000);
  const result = await runVariant(
    deployment,
    variantNamed('ours'),
    short,
    settings,
  );
  return percentilesOf(firstTokensOf(result.outcomes, 'short')).p95;
}

export async function runScenario(
  deployment: Deployment,
  scenario: Scenario,
  capacity: number,
  settings: BenchSettings,
  wanted: (variant: Variant) => boolean,
): Promise<ScenarioResult> {
  const requestsPerSec = capacity * scenario.load;
  const arrivals = arrivalsOf(deployment, settings, requestsPerSec);
  const aloneP95Ms = await measureAlone(deployment, arrivals, settings);
  const measured: {variant: Variant; result: RunResult; figures: Figures}[] =
    [];
  for (const variant of VARIANTS.filter(one => wanted(one))) {
    const result = await runVariant(
      deployment,
      variant,
      arrivals,
      settings,
      scenario,
    );
    const figures = figuresOf(result, settings.durationMs, aloneP95Ms);
    measured.push({variant, result, figures});
  }
  const bestLong = Math.min(
    ...measured
      .filter(one => one.variant.baseline)
      .map(one => one.figures.firstTokenMs.over100k.p95),
  );
  const weights = declarationsOf(deployment).policy;
  const rows = measured.map(({variant, result, figures}) => ({
    policy: variant.name,
    baseline: variant.baseline,
    figures,
    score: scoreOf(figures, weights, bestLong),
    shortMs: sorted(firstTokensOf(result.outcomes, 'short')),
    over100kMs: sorted(firstTokensOf(result.outcomes, 'over100k')),
    recoverySec: scenario.loseHalf
      ? recoverySec(result, settings, aloneP95Ms)
      : undefined,
  }));
  return {
    deployment: deployment.name,
    scenario: scenario.name,
    requestsPerSec,
    aloneP95Ms,
    rows,
  };
}

/** From the loss until short prompts are within 1.25 of alone for good. */
function recoverySec(
  result: RunResult,
  settings: BenchSettings,
  aloneP95Ms: number,
): number {
  const lostAt = settings.durationMs / 2;
  let withinSince = NaN;
  for (
    let from = lostAt;
    from + RECOVERY_WINDOW_MS <= settings.durationMs;
    from += RECOVERY_WINDOW_MS
  ) {
    const window = result.outcomes.filter(
      one =>
        one.arrival.at >= from && one.arrival.at < from + RECOVERY_WINDOW_MS,
    );
    const {p95} = percentilesOf(firstTokensOf(window, 'short'));
    if (!(p95 <= 1.25 * aloneP95Ms)) withinSince = NaN;
    else if (Number.isNaN(withinSince)) withinSince = from;
  }
  return (withinSince - lostAt) / 1_000;
}

function sorted(values: readonly number[]): readonly number[] {
  return values.map(value => Math.round(value)).sort((a, b) => a - b);
}

export function variantNamed(name: string): Variant {
  const found = VARIANTS.find(one => one.name === name);
  if (found === undefined) throw new Error(`no policy "${name}"`);
  return found;
}

export async function benchPolicy(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      json: {type: 'string'},
      seed: {type: 'string', default: '1'},
      seconds: {type: 'string', default: '300'},
      deployment: {type: 'string', default: ''},
      scenario: {type: 'string', default: ''},
      policy: {type: 'string', default: ''},
      plots: {type: 'string'},
    },
  });
  const settings = {
    seed: Number(values.seed),
    durationMs: Number(values.seconds) * 1_000,
  };
  const results: ScenarioResult[] = [];
  const capacities: {deployment: string; capacity: Capacity}[] = [];
  for (const deployment of DEPLOYMENTS) {
    if (!deployment.name.includes(values.deployment)) continue;
    const capacity = await measureCapacity(deployment, settings);
    capacities.push({deployment: deployment.name, capacity});
    console.log(
      `${deployment.name}: capacity ${capacity.requestsPerSec.toFixed(2)} requests/s, ` +
        `${deployment.replicas} engines`,
    );
    for (const scenario of SCENARIOS) {
      const named = values.scenario.split(',');
      if (!named.some(name => scenario.name.includes(name))) continue;
      const result = await runScenario(
        deployment,
        scenario,
        capacity.requestsPerSec,
        settings,
        variant =>
          (scenario.allVariants || COMPARED.includes(variant.name)) &&
          (values.policy === '' ||
            variant.baseline ||
            values.policy.split(';').includes(variant.name)),
      );
      results.push(result);
      printScenario(result);
    }
  }
  if (values.plots !== undefined) writePlots(values.plots, results);
  if (values.json !== undefined) {
    const report = {seed: settings.seed, seconds: settings.durationMs / 1_000};
    writeFileSync(
      values.json,
      JSON.stringify({...report, capacities, results}, undefined, 1) + '\n',
    );
  }
}
