/**
 * Applies faults to a fleet and takes them back after their time. Faults of
 * one kind may overlap: the last one to end takes the fault back.
 */
import type {FleetEntry} from '../standins/fleet_entry.js';
import type {FleetProcess} from '../standins/fleet_process.js';
import type {FleetSide} from '../standins/fleet_upstreams.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import {NO_FRAME_FAULTS} from '../standins/memory_frames.js';
import {NO_FAULTS} from '../standins/object_store_core.js';
import type {FaultAction, FrameAction} from './soak_actions.js';
import type {Judge} from './soak_judge.js';

/** One-way delays of the network without faults. */
const USUAL_DELAY = {minMs: 0.3, maxMs: 0.7};
/** How far back stale reads reach. */
const STALE_MS = 5_000;
/** A drained process is gone for this long. */
const REPLACED_AFTER_MS = 500;
const SERVICE_SLOW_MS = 2_000;
/** How long a side is gone that restarts at once. */
const RESTART_MS = 50;

const FRAME_FIELDS = {
  'frame-double': 'doubled',
  'frame-late': 'late',
  'frame-drop': 'dropped',
  'frame-change': 'changed',
  'go-copy': 'copied',
} as const;

export interface Faults {
  apply(action: FaultAction): void;
  /** Takes back all faults; frozen processes thaw by themselves. */
  healAll(): void;
}

export function createFaults(fleet: MemoryFleet, judge: Judge): Faults {
  const {clock, network, store, hostList, weightStore} = fleet;
  const {engines, services, entries, sides} = fleet;
  const processes = [...entries, ...sides];
  /** How many faults of a kind are on, by name. */
  const counts = new Map<string, number>();
  let healed = 0;

  const pick = <T>(from: readonly T[], at: number): T =>
    from[at % from.length] as T;

  /** Undoes after `ms`, unless another of the same name is still on. */
  const forTime = (name: string, ms: number, undo: () => void) => {
    const begun = healed;
    counts.set(name, (counts.get(name) ?? 0) + 1);
    clock.after(ms, () => {
      if (begun !== healed) return;
      const left = (counts.get(name) ?? 1) - 1;
      counts.set(name, left);
      if (left === 0) undo();
    });
  };

  const restart = (process: FleetProcess) => {
    if (process.isAlive()) return;
    void process.restart();
  };

  const crash = (process: FleetProcess, ms: number) => {
    judge.noteCrash(process);
    process.crash();
    forTime(`crash ${process.name}`, ms, () => restart(process));
  };

  /** Asks a process to drain, then replaces it. */
  const drain = (process: FleetEntry | FleetSide, ms: number) => {
    if (!process.isAlive()) return;
    const incarnation = process.incarnation();
    const isSame = () =>
      process.isAlive() && process.incarnation() === incarnation;
    judge.noteLeaving(process, 'own-notice');
    const replace = () => {
      if (!isSame()) return;
      judge.noteCrash(process);
      process.crash();
      clock.after(REPLACED_AFTER_MS, () => restart(process));
    };
    process.drain().then(
      () => {
        judge.noteDrained(process, incarnation);
        replace();
      },
      // Its service failed meanwhile; the drain limit below ends it.
      () => undefined,
    );
    clock.after(60_000 + ms, replace);
  };

  const leave = (side: FleetSide, ms: number) => {
    hostList.leave(side.host);
    judge.noteLeaving(side, 'host-list');
    forTime(`leave ${side.name}`, 5_000 + ms, () => relist(side));
  };

  const relist = (side: FleetSide) => {
    fleet.listHost(side);
    judge.noteBack(side);
  };

  const apply = (action: FaultAction): void => {
    judge.noteFault(action);
    switch (action.kind) {
      case 'engine-die': {
        const engine = pick(engines, action.at);
        engine.kill();
        const {name} = engine;
        return forTime(`die ${name}`, action.ms, () => engine.revive());
      }
      case 'engine-freeze': {
        const {model, name} = pick(engines, action.at);
        model.freeze(true);
        return forTime(`freeze ${name}`, action.ms, () => model.freeze(false));
      }
      case 'engine-silent': {
        const engine = pick(engines, action.at);
        engine.link().setSilent(true);
        return forTime(`silent ${engine.name}`, action.ms, () =>
          engine.link().setSilent(false),
        );
      }
      case 'engine-mute':
        return pick(engines, action.at).link().silenceOpen();
      case 'engine-cut':
        return pick(engines, action.at).link().cut();
      case 'engine-slow': {
        const {model, name} = pick(engines, action.at);
        model.slow(action.factor);
        return forTime(`slow ${name}`, action.ms, () => model.slow(1));
      }
      case 'service-die':
        return serviceFault(action.at, 'dead', action.ms);
      case 'service-freeze':
        return serviceFault(action.at, 'frozen', action.ms);
      case 'service-silent':
        return serviceFault(action.at, 'silent', action.ms);
      case 'service-lose':
        return serviceFault(action.at, 'loseAnswers', action.ms);
      case 'service-slow': {
        const {core, name} = pick(services, action.at);
        core.setFaults({slowMs: SERVICE_SLOW_MS});
        return forTime(`slow ${name}`, action.ms, () =>
          core.setFaults({slowMs: 0}),
        );
      }
      case 'side-crash':
        return crash(pick(sides, action.at), action.ms);
      case 'side-freeze':
        return pick(sides, action.at).freeze(action.ms);
      case 'side-drain':
        return drain(pick(sides, action.at), action.ms);
      case 'entry-crash':
        return crash(pick(entries, action.at), action.ms);
      case 'entry-freeze':
        return pick(entries, action.at).freeze(action.ms);
      case 'entry-drain':
        return drain(pick(entries, action.at), action.ms);
      case 'host-leave':
        return leave(pick(sides, action.at), action.ms);
      default:
        return applyToPlatform(action);
    }
  };

  const serviceFault = (
    at: number,
    fault: 'dead' | 'frozen' | 'silent' | 'loseAnswers',
    ms: number,
  ) => {
    const {core, name} = pick(services, at);
    core.setFaults({[fault]: true});
    forTime(`${fault} ${name}`, ms, () => core.setFaults({[fault]: false}));
  };

  const applyToPlatform = (action: FaultAction): void => {
    switch (action.kind) {
      case 'store-outage':
        store.setFaults({outage: true, hang: action.hang});
        return forTime('outage', action.ms, () =>
          store.setFaults({outage: false, hang: false}),
        );
      case 'store-slow':
        store.setFaults({slowMs: action.slowMs});
        return forTime('slow store', action.ms, () =>
          store.setFaults({slowMs: 0}),
        );
      case 'store-lose':
        store.setFaults({loseProbability: action.share});
        return forTime('lose', action.ms, () =>
          store.setFaults({loseProbability: 0}),
        );
      case 'store-stale':
        store.setFaults({staleMs: STALE_MS});
        return forTime('stale', action.ms, () => store.setFaults({staleMs: 0}));
      case 'store-cut': {
        const process = pick(processes, action.at);
        process.cutStore(true);
        return forTime(`store of ${process.name}`, action.ms, () =>
          process.cutStore(false),
        );
      }
      case 'list-lag':
        hostList.setFaults({lagMs: action.lagMs});
        return forTime('lag', action.ms, () => hostList.setFaults({lagMs: 0}));
      case 'list-frozen':
        hostList.setFaults({frozen: true});
        return forTime('frozen list', action.ms, () =>
          hostList.setFaults({frozen: false}),
        );
      case 'list-outage':
        hostList.setFaults({outage: true});
        return forTime('list outage', action.ms, () =>
          hostList.setFaults({outage: false}),
        );
      case 'weights-outage':
        weightStore.setFaults({outage: true});
        return forTime('weights', action.ms, () =>
          weightStore.setFaults({outage: false}),
        );
      default:
        return applyToNetwork(action);
    }
  };

  const applyToNetwork = (action: FaultAction): void => {
    const {faults} = network;
    switch (action.kind) {
      case 'net-cut': {
        const a = pick(entries, action.at).address;
        const b = pick(processes, action.with).address;
        if (a === b) return;
        faults.cut(a, b);
        return forTime(`cut ${a} ${b}`, action.ms, () => faults.heal(a, b));
      }
      case 'net-silence': {
        const a = pick(entries, action.at).address;
        return faults.silence(a, pick(processes, action.with).address);
      }
      case 'net-slow':
        faults.setDelay({minMs: USUAL_DELAY.minMs, maxMs: action.maxMs});
        return forTime('delay', action.ms, () => faults.setDelay(USUAL_DELAY));
      case 'net-double':
        faults.setDuplicates(action.share, {minMs: 0, maxMs: action.laterMs});
        return forTime('double', action.ms, () =>
          faults.setDuplicates(0, {minMs: 0, maxMs: 0}),
        );
      case 'net-drop':
        faults.setDrops(action.share);
        return forTime('drop', action.ms, () => faults.setDrops(0));
      case 'frame-double':
      case 'frame-late':
      case 'frame-drop':
      case 'frame-change':
      case 'go-copy':
        return applyToFrames(action);
      default:
        throw new Error(`no such fault: ${action.kind}`);
    }
  };

  const applyToFrames = (action: FrameAction): void => {
    const {kind, share, ms} = action;
    const {faults} = network;
    const field = FRAME_FIELDS[kind];
    if (kind === 'go-copy') {
      faults.setFrames({copyLaterMs: {minMs: 0, maxMs: action.laterMs}});
      // Copies that meet another incarnation need a restart in their time.
      const side = pick(sides, Math.round(action.laterMs));
      const begun = healed;
      clock.after(ms, () => {
        if (begun === healed) crash(side, RESTART_MS);
      });
    } else if (kind === 'frame-double' || kind === 'frame-late') {
      faults.setFrames({laterMs: {minMs: 0, maxMs: action.laterMs}});
    }
    faults.setFrames({[field]: share});
    forTime(kind, ms, () => faults.setFrames({[field]: 0}));
  };

  const healAll = () => {
    healed++;
    counts.clear();
    for (const engine of engines) {
      if (engine.model.isDead()) engine.revive();
      engine.model.freeze(false);
      engine.model.slow(1);
      engine.link().setSilent(false);
    }
    for (const {core} of services) {
      core.setFaults({
        dead: false,
        frozen: false,
        silent: false,
        loseAnswers: false,
        slowMs: 0,
      });
    }
    for (const process of processes) {
      process.cutStore(false);
      restart(process);
    }
    for (const side of sides) relist(side);
    store.setFaults(NO_FAULTS);
    hostList.setFaults({lagMs: 0, frozen: false, outage: false});
    weightStore.setFaults({outage: false});
    network.faults.healAll();
    network.faults.setDelay(USUAL_DELAY);
    network.faults.setDuplicates(0, {minMs: 0, maxMs: 0});
    network.faults.setDrops(0);
    network.faults.setFrames(NO_FRAME_FAULTS);
    network.faults.endCopies();
  };

  return {apply, healAll};
}
