/** What a side tells of itself: load, heartbeat answers, where a run is. */
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

const LOCATE_STATES: {readonly [S in RunState]: LocateRes['state']} = {
  offered: 'none',
  receiving: 'queued',
  queued: 'queued',
  running: 'running',
  ended: 'ended',
  failed: 'failed',
  cancelled: 'failed',
};

function prefillBacklog(runs: readonly Run[]): number {
  return runs.reduce((sum, run) => sum + prefillTokensLeft(run), 0);
}

export function loadOf(core: SideCore): SideLoad {
  const {table, memory, rates, upstream} = core;
  const runs = table.all();
  const isShort = (run: Run) =>
    classIndexOf(lengthClassesOf(core), run.offer.promptTokens) === 0;
  return {
    capacityTokens: memory.capacity(),
    freeTokens: memory.free(),
    running: table.occupyingSlots().length,
    queued: table.waiting().length,
    prefillBacklogTokens: prefillBacklog(runs),
    shortBacklogTokens: prefillBacklog(runs.filter(isShort)),
    prefillTokensPerSec: rates.prefillTokensPerSec(),
    stepMs: rates.stepMs(),
    reportAgeMs: reportAgeMsOf(core, upstream.lastReportAt),
  };
}

function reportAgeMsOf(
  core: SideCore,
  lastReportAt: number | undefined,
): number {
  if (lastReportAt === undefined) return 0;
  return core.ctx.clock.now() - lastReportAt + core.upstream.reportAgeMs;
}

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

export function statusOf(core: SideCore, channels: number): SideStatus {
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
    channels,
  };
}
