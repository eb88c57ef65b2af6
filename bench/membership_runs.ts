/** The runs of `membership_scenarios`, each with its figures. */
import {MEMBERSHIP_EVENTS} from '../src/utils/events.js';
import {
  DOMAINS,
  allSee,
  inDomain,
  lastPlacedMs,
  loseDomain,
  replaceHost,
  returnDomain,
  setRegionCut,
  startTrial,
  statesAt,
} from './membership_scenarios.js';
import type {Outcome} from './membership_scenarios.js';

const [LOST] = DOMAINS;
const WARM_UP_MS = 5_000;
const LIMIT_MS = 60_000;

export interface Figures {
  readonly [name: string]: number;
}

export interface RunResult {
  readonly name: string;
  readonly seed: number;
  readonly figures: Figures;
  readonly outcome: Outcome;
}

export type MembershipRun = (seed: number) => Promise<RunResult>;

/** A failure domain, with its entry, is lost at once and comes back later. */
export async function domainLost(seed: number): Promise<RunResult> {
  const trial = await startTrial(seed);
  const {fleet} = trial;
  await trial.run(WARM_UP_MS);
  const sides = inDomain(fleet.sides, LOST);
  const lostAt = fleet.clock.now();
  loseDomain(fleet, LOST);
  const detectMs = await trial.until(
    () => allSee(fleet.entries, sides, false),
    LIMIT_MS,
  );
  await trial.run(30_000);
  const placedMs = lastPlacedMs(fleet, sides, lostAt);
  const back = returnDomain(fleet, LOST);
  const returnMs = await trial.until(
    () => allSee(fleet.entries, sides, true),
    LIMIT_MS,
  );
  await back;
  const returnedAt = fleet.clock.now();
  await trial.run(10_000);
  const usedAgainMs = lastPlacedMs(fleet, sides, returnedAt);
  const outcome = await trial.finish();
  const figures = {detectMs, placedMs, returnMs, usedAgainMs};
  return {name: 'failure domain lost', seed, figures, outcome};
}

/** One failure domain is cut from the two others for three minutes. */
export async function regionCut(seed: number): Promise<RunResult> {
  const trial = await startTrial(seed);
  const {fleet} = trial;
  await trial.run(WARM_UP_MS);
  const here = inDomain(fleet.sides, LOST);
  const there = fleet.sides.filter(side => side.failureDomain !== LOST);
  const hereEntries = inDomain(fleet.entries, LOST);
  const thereEntries = fleet.entries.filter(
    entry => entry.failureDomain !== LOST,
  );
  setRegionCut(fleet, LOST, true);
  const detectMs = await trial.until(
    () =>
      allSee(hereEntries, there, false) && allSee(thereEntries, here, false),
    LIMIT_MS,
  );
  let fewest = fleet.sides.length;
  await trial.run(180_000, () => {
    for (const entry of fleet.entries) {
      fewest = Math.min(fewest, entry.view()?.replicas.length ?? 0);
    }
  });
  setRegionCut(fleet, LOST, false);
  const returnMs = await trial.until(
    () => allSee(fleet.entries, fleet.sides, true),
    LIMIT_MS,
  );
  await trial.run(10_000);
  const outcome = await trial.finish();
  const figures = {detectMs, returnMs, fewestCandidates: fewest};
  return {name: 'region cut for 180 s', seed, figures, outcome};
}

/** All hosts are replaced, one after another, each drained before. */
export async function allReplaced(seed: number): Promise<RunResult> {
  const trial = await startTrial(seed);
  const {fleet} = trial;
  await trial.run(WARM_UP_MS);
  const returns: number[] = [];
  const lates: number[] = [];
  for (const side of fleet.sides) {
    const leftAt = fleet.clock.now();
    await replaceHost(trial, side, 1);
    returns.push(
      await trial.until(() => allSee(fleet.entries, [side], true), LIMIT_MS),
    );
    const placed = fleet.tracked
      .flatMap(one => one.placements)
      .filter(({at, side: address}) => at > leftAt && address === side.address)
      .map(({at}) => at - leftAt)
      // Those of the next incarnation are no longer late.
      .filter(lateMs => lateMs < 1_900);
    lates.push(Math.max(0, ...placed));
  }
  for (const entry of fleet.entries) {
    await replaceHost(trial, entry, 1);
    returns.push(
      await trial.until(() => allSee([entry], fleet.sides, true), LIMIT_MS),
    );
  }
  const outcome = await trial.finish();
  const figures = {
    lastPlacedMs: Math.max(...lates),
    returnMostMs: Math.max(...returns),
    neverReturned: returns.filter(ms => ms < 0).length,
  };
  return {name: 'all hosts replaced', seed, figures, outcome};
}

/** An entry is paused, and later cut off from everyone. */
export async function observerPaused(seed: number): Promise<RunResult> {
  const trial = await startTrial(seed);
  const {fleet} = trial;
  await trial.run(WARM_UP_MS);
  const [observer] = fleet.entries;
  if (observer === undefined) throw new Error('no entry');
  const live = () =>
    statesAt(observer, fleet.sides).filter(state => state === 'live').length;
  const frozenAt = fleet.clock.now();
  observer.freeze(20_000);
  await trial.run(30_000);
  const falseSuspicions = fleet.events.filter(
    ({at, node, event, fields}) =>
      at >= frozenAt &&
      node === observer.name &&
      event.number === MEMBERSHIP_EVENTS.replicaState.number &&
      fields.to === 'suspect',
  ).length;
  const everyone = [...fleet.sides, ...fleet.entries.slice(1)];
  for (const {address} of everyone) {
    fleet.network.faults.cut(observer.address, address);
  }
  let fewestCandidates = fleet.sides.length;
  await trial.run(60_000, () => {
    const followed = observer.view()?.replicas.length ?? 0;
    fewestCandidates = Math.min(fewestCandidates, followed);
  });
  const liveWhileCut = live();
  fleet.network.faults.healAll();
  const returnMs = await trial.until(
    () => allSee([observer], fleet.sides, true),
    LIMIT_MS,
  );
  await trial.run(5_000);
  const outcome = await trial.finish();
  const figures = {
    falseSuspicions,
    fewestCandidates,
    liveWhileCut,
    returnMs,
  };
  return {name: 'observer paused, then cut off', seed, figures, outcome};
}

/** The host list lags by 30 s, then stands still. */
export async function hostListStale(seed: number): Promise<RunResult> {
  const trial = await startTrial(seed);
  const {fleet} = trial;
  fleet.hostList.setFaults({lagMs: 30_000});
  await trial.run(WARM_UP_MS);
  const [dying, leaving] = fleet.engines;
  if (dying === undefined || leaving === undefined) throw new Error('no side');
  dying.crash();
  fleet.hostList.remove(dying.host);
  const detectMs = await trial.until(
    () => allSee(fleet.entries, [dying], false),
    LIMIT_MS,
  );
  const leftAt = fleet.clock.now();
  void leaving.drain();
  const leavingSeenMs = await trial.until(
    () => allSee(fleet.entries, [leaving], false),
    LIMIT_MS,
  );
  await trial.run(40_000);
  const placedMs = lastPlacedMs(fleet, [leaving], leftAt);
  fleet.hostList.setFaults({lagMs: 0, frozen: true});
  const back = dying.restart();
  fleet.listHost(dying);
  await trial.run(30_000);
  await back;
  const seenWhileFrozen = allSee(fleet.entries, [dying], true) ? 1 : 0;
  fleet.hostList.setFaults({frozen: false});
  const returnMs = await trial.until(
    () => allSee(fleet.entries, [dying], true),
    LIMIT_MS,
  );
  await trial.run(5_000);
  const outcome = await trial.finish();
  const figures = {
    detectMs,
    leavingSeenMs,
    placedMs,
    seenWhileFrozen,
    returnMs,
  };
  return {name: 'host list lagging, then frozen', seed, figures, outcome};
}

export const MEMBERSHIP_RUNS: readonly MembershipRun[] = [
  domainLost,
  regionCut,
  allReplaced,
  observerPaused,
  hostListStale,
];
