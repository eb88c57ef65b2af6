/**
 * Judges a randomised run by what callers saw and by what the engines' and
 * services' own counters say, apart from the product's view of itself.
 */
import type {RequestId} from '../src/types/ids.js';
import {finalOf} from '../standins/fleet_callers.js';
import type {Tracked} from '../standins/fleet_callers.js';
import type {PatchOutcome} from '../standins/fleet_entry.js';
import type {FleetProcess} from '../standins/fleet_process.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {FaultAction} from './soak_actions.js';
import {judgeEnd} from './soak_judge_end.js';
import {createOrphanJudge} from './soak_judge_orphans.js';
import {judgeLeaving} from './soak_judge_leaving.js';
import type {Leaving} from './soak_judge_leaving.js';

/** An invariant that does not hold. */
export interface Breach {
  /** Letter and short name of the invariant. */
  readonly invariant: string;
  readonly message: string;
  readonly request: RequestId | undefined;
}

/** What the judge was told by the run. */
export interface JudgeNotes {
  readonly patches: Map<string, PatchOutcome | undefined>;
  readonly leavings: Leaving[];
  /** Request that took a key first, by organisation and key. */
  readonly keys: Map<string, RequestId[]>;
}

export interface Judge {
  readonly notes: JudgeNotes;
  noteFault(action: FaultAction): void;
  noteCrash(process: FleetProcess): void;
  noteLeaving(process: FleetProcess, how: Leaving['how']): void;
  /** The host is listed as live again. */
  noteBack(process: FleetProcess): void;
  noteDrained(process: FleetProcess, incarnation: string): void;
  noteAsked(tracked: Tracked): void;
  notePatch(patchId: string, outcome: PatchOutcome | undefined): void;
  /** After each step. */
  check(): Breach | undefined;
  /** After the quiet time, when nothing should be left. */
  checkEnd(): Promise<Breach | undefined>;
}

/** A final event may come this much after the deadline. */
const LATE_SLACK_MS = 50;

export function createJudge(fleet: MemoryFleet, holdMs: number): Judge {
  const notes: JudgeNotes = {
    patches: new Map(),
    leavings: [],
    keys: new Map(),
  };
  /** Submissions whose final event has not been judged yet. */
  const open = new Set<Tracked>();
  const early: Breach[] = [];
  const orphans = createOrphanJudge(fleet, holdMs);
  const lastNumbers = new Map<string, number>();
  let listFaultUntil = 0;

  const entryOf = (one: Tracked) =>
    fleet.entries.find(entry => entry.name === one.entry);

  /** An open submission whose run its engine still has. */
  const runningAt = (process: FleetProcess): Tracked | undefined => {
    const engine = fleet.engines.find(({name}) => name === process.name);
    const runs = engine?.model.list().filter(run => run.state !== 'done') ?? [];
    const ids = new Set(runs.map(({runId}) => runId));
    return [...open].find(one => {
      const entry = entryOf(one);
      if (entry === undefined || !entry.isAlive()) return false;
      return one.finals === 0 && ids.has(one.dispatchId);
    });
  };

  /** The network changed a chunk of an attempt that this one was told of. */
  const isChanged = (one: Tracked): boolean =>
    one.placements.some(({dispatchId}) =>
      fleet.network.changedRuns.has(dispatchId),
    );

  const checkOpen = (): Breach | undefined => {
    for (const one of open) {
      const breach = judgeAsking(
        one,
        entryOf(one),
        fleet.clock.now(),
        isChanged(one),
      );
      if (breach !== undefined) return breach;
      if (one.cut || one.finals > 0) open.delete(one);
    }
    return undefined;
  };

  const checkNumbers = (): Breach | undefined => {
    for (const process of [...fleet.entries, ...fleet.sides]) {
      const key = `${process.name} ${process.incarnation()}`;
      const newest = process.configNumbers().at(-1) ?? 0;
      const before = lastNumbers.get(key) ?? 0;
      if (newest < before) {
        const message = `${key} went from number ${before} to ${newest}`;
        return breachOf('g config goes forward', message);
      }
      lastNumbers.set(key, newest);
    }
    return undefined;
  };

  const checkViolations = (): Breach | undefined => {
    const [first] = fleet.violations;
    if (first === undefined) return undefined;
    const request = /[0-9a-f]{32}/.exec(first)?.[0];
    return breachOf('h own invariants', first, request);
  };

  return {
    notes,
    noteFault: action => {
      orphans.noteFault(action);
      if (action.kind.startsWith('list-') && 'ms' in action) {
        const until = fleet.clock.now() + action.ms;
        listFaultUntil = Math.max(listFaultUntil, until + 5_000);
      }
    },
    noteCrash: process => {
      // A crashed side forgets that it was leaving; the list does not.
      endLeavings(notes, process.name, 'own-notice', fleet.clock.now());
      const left = [...open].filter(one => {
        return one.entry === process.name && one.finals === 0 && !one.resumed;
      });
      orphans.noteOrphans(left.map(({id}) => id));
    },
    noteLeaving: (process, how) => {
      notes.leavings.push({
        process,
        incarnation: process.incarnation(),
        how,
        from: fleet.clock.now(),
        until: undefined,
      });
    },
    noteBack: process =>
      endLeavings(notes, process.name, 'host-list', fleet.clock.now()),
    noteDrained: (process, incarnation) => {
      const cut = [...open].find(one => {
        return one.entryIncarnation === incarnation && one.finals === 0;
      });
      const left = cut ?? runningAt(process);
      if (left === undefined) return;
      const message = `${process.name} ended its drain with a submission open`;
      early.push(breachOf('i drain cuts nothing', message, left.id));
    },
    noteAsked: tracked => {
      open.add(tracked);
      if (tracked.resumed) {
        orphans.noteResumed(tracked.id);
        return;
      }
      const {idempotencyKey, organisation, repeatable} = tracked.ask;
      if (idempotencyKey === undefined || repeatable) return;
      const key = `${organisation} ${idempotencyKey}`;
      notes.keys.set(key, [...(notes.keys.get(key) ?? []), tracked.id]);
    },
    notePatch: (patchId, outcome) => notes.patches.set(patchId, outcome),
    check: () =>
      early[0] ??
      checkViolations() ??
      checkOpen() ??
      checkNumbers() ??
      orphans.check() ??
      judgeLeaving(fleet, notes.leavings, listFaultUntil),
    checkEnd: () => judgeEnd(fleet, notes),
  };
}

function endLeavings(
  notes: JudgeNotes,
  name: string,
  how: Leaving['how'],
  now: number,
): void {
  for (const leaving of notes.leavings) {
    if (leaving.process.name === name && leaving.how === how) {
      leaving.until ??= now;
    }
  }
}

export function breachOf(
  invariant: string,
  message: string,
  request?: RequestId,
): Breach {
  return {invariant, message, request};
}

/** Judges one submission as it stands. */
function judgeAsking(
  one: Tracked,
  entry: FleetProcess | undefined,
  now: number,
  changed: boolean,
): Breach | undefined {
  const isResume = one.fromSeq > 0 || one.resumed;
  if (one.finals > 1) {
    return breachOf('a one final event', `${one.finals} final events`, one.id);
  }
  if (one.finals === 0) {
    if (one.cut || isResume || entry === undefined) return undefined;
    if (!entry.isAlive() || entry.isFrozen()) return undefined;
    const due = Math.max(one.deadlineAt, entry.awakeSince()) + LATE_SLACK_MS;
    if (now <= due) return undefined;
    const message = `no final event at ${now}, due ${due}`;
    return breachOf('a in time', message, one.id);
  }
  const awake = entry?.awakeSince() ?? 0;
  const due = Math.max(one.deadlineAt, awake) + LATE_SLACK_MS;
  if (!isResume && (one.endedAt ?? 0) > due) {
    const message = `final event at ${one.endedAt}, due ${due}`;
    return breachOf('a in time', message, one.id);
  }
  return judgeAnswer(one, changed);
}

function judgeAnswer(one: Tracked, changed: boolean): Breach | undefined {
  const order = judgeOrder(one);
  if (order !== undefined) return order;
  const final = finalOf(one);
  // A changed byte shows when the digest comes, after it was told: such an
  // answer may fail, and may never end as whole.
  if (changed && final?.kind !== 'end') return undefined;
  // What comes before a resume's first chunk was told to another connection.
  if (one.fromSeq > 0) {
    if (one.expected.includes(one.text)) return undefined;
    return breachOf('b own answer', `resumed text ${one.text}`, one.id);
  }
  if (!one.expected.startsWith(one.text)) {
    const message = `got ${one.text}, expected ${one.expected}`;
    return breachOf('b own answer', message, one.id);
  }
  if (final?.kind === 'end' && one.text !== one.expected) {
    const message = `ended with ${one.text}, expected ${one.expected}`;
    return breachOf('b whole answer', message, one.id);
  }
  return undefined;
}

function judgeOrder(one: Tracked): Breach | undefined {
  let next = one.fromSeq;
  let ended = false;
  for (const event of one.events) {
    if (ended) return breachOf('b order', 'an event after the final', one.id);
    if (event.kind === 'chunk') {
      if (event.seq !== next) {
        const message = `chunk ${event.seq} came, ${next} was next`;
        return breachOf('b order', message, one.id);
      }
      next++;
    }
    if (event.kind === 'end' && event.count !== next) {
      const message = `the end says ${event.count} chunks, ${next} came`;
      return breachOf('b whole answer', message, one.id);
    }
    ended = event.kind === 'end' || event.kind === 'failed';
  }
  return undefined;
}
