/**
 * Builds the reports of a side's state: its load, its heartbeat replies, the
 * location of a run, and the status for operators.
 */
import type {
  LocateReq,
  LocateRes,
  SideHeartbeatRes,
  SideLoad,
} from '../types/peer_messages.js';
import type {SideCore} from './side_core.js';
import {lengthClassesOf, isUpstreamDown} from './side_core.js';
import type {SideStatus} from './messages.js';
import {modelName} from '../utils/model_name.js';
import {classIndexOf} from './queue_policy.js';
import {prefillTokensLeft} from './run.js';
import type {Run, RunState} from './run.js';

/** The state that a `locate` reply gives for each state of a run. */
const LOCATE_STATES: {readonly [S in RunState]: LocateRes['state']} = {
  offered: 'none',
  receiving: 'queued',
  queued: 'queued',
  running: 'running',
  ended: 'ended',
  failed: 'failed',
  cancelled: 'failed',
};

/** Prompt tokens of these runs that are not prefilled yet. */
function prefillBacklog(runs: readonly Run[]): number {
  return runs.reduce((sum, run) => sum + prefillTokensLeft(run), 0);
}

/** The side's current load, with its learned rates. */
export function loadOf(core: SideCore): SideLoad {
  const {table, memory, rates, upstream} = core;
  const runs = table.all();
  const isShort = (run: Run) =>
    classIndexOf(lengthClassesOf(core), run.offer.promptTokens) === 0;
  return {
    capacityTokens: memory.capacity(),
    freeTokens: memory.free(),
    running: table.runsInSlots().length,
    queued: table.waiting().length,
    prefillBacklogTokens: prefillBacklog(runs),
    shortBacklogTokens: prefillBacklog(runs.filter(isShort)),
    prefillTokensPerSec: rates.prefillTokensPerSec(),
    stepMs: rates.stepMs(),
    reportAgeMs: reportAgeMsOf(core, upstream.lastReportAt),
  };
}

/** Age of the upstream's report, including its age when it arrived. */
function reportAgeMsOf(
  core: SideCore,
  lastReportAt: number | undefined,
): number {
  if (lastReportAt === undefined) return 0;
  return core.ctx.clock.now() - lastReportAt + core.upstream.reportAgeMs;
}

/** Reply to an entry's heartbeat. */
export function heartbeatReplyOf(core: SideCore): SideHeartbeatRes {
  const {options} = core;
  return {
    node: options.node,
    incarnation: core.incarnation,
    pool: options.pool,
    failureDomain: options.failureDomain,
    leaving: core.leaving,
    configNumber: core.config?.number ?? 0,
    fence: core.fence,
    load: loadOf(core),
    models: core.upstream.models,
  };
}

/** Reply to a `locate` call; state `none` when the request has no run here. */
export function locateRun(core: SideCore, req: LocateReq): LocateRes {
  const run = core.table.find(req.requestId, req.organisation);
  const state = run === undefined ? 'none' : LOCATE_STATES[run.state];
  if (run === undefined || state === 'none') {
    return {state: 'none', dispatchId: '', nextSeq: 0, kind: 'completion'};
  }
  return {
    state,
    dispatchId: run.id,
    nextSeq: run.chunkLog.count(),
    kind: run.offer.kind,
    model: modelName(run.offer),
    promptTokens: run.offer.promptTokens,
  };
}

/** Status for operators. */
export function statusOf(core: SideCore, channelCount: number): SideStatus {
  return {
    incarnation: core.incarnation,
    leaving: core.leaving,
    upstreamUp: !isUpstreamDown(core),
    load: loadOf(core),
    reservedTokens: core.memory.reserved(),
    runs: core.table.all().map(run => ({
      dispatchId: run.id,
      state: run.state,
      owner: run.owner,
    })),
    tombstones: core.tombstones.size(),
    channels: channelCount,
  };
}
