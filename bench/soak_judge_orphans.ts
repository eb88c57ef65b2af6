/**
 * Judges that the work of a crashed entry is given up: its sides hear nothing
 * of it any more, and must free the engines within the hold time.
 */
import type {RequestId} from '../src/types/ids.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {FaultAction} from './soak_actions.js';
import type {Breach} from './soak_judge.js';

/** Sweep of the side, the engine's answer, an audit after a lost cancel. */
const SLACK_MS = 8_000;
/** After these, sides and engines may not hear each other or the entries. */
const BLINDING =
  /^(engine-(freeze|silent|mute|cut|die)|side-|net-(cut|silence|drop|slow))/;

export interface OrphanJudge {
  noteFault(action: FaultAction): void;
  /** The entries of these submissions have crashed. */
  noteOrphans(ids: readonly RequestId[]): void;
  /** An entry took it up. */
  noteResumed(id: RequestId): void;
  check(): Breach | undefined;
}

export function createOrphanJudge(
  fleet: MemoryFleet,
  holdMs: number,
): OrphanJudge {
  /** When the entry crashed, by request. */
  const orphans = new Map<RequestId, number>();
  let blindUntil = 0;

  const restFor = () => {
    const now = fleet.clock.now();
    // Whatever was orphaned before has its time from the end of the fault on.
    for (const id of orphans.keys()) {
      orphans.set(id, Math.max(now, blindUntil));
    }
  };

  const heldAt = (id: RequestId): string | undefined =>
    fleet.engines.find(({model}) =>
      model.list().some(({runId, state}) => {
        return runId.startsWith(`${id}.`) && state !== 'done';
      }),
    )?.name;

  return {
    noteFault: action => {
      if (!BLINDING.test(action.kind)) return;
      const ms = 'ms' in action ? action.ms : 0;
      blindUntil = Math.max(blindUntil, fleet.clock.now() + ms + SLACK_MS);
      restFor();
    },
    noteOrphans: ids => {
      const from = Math.max(fleet.clock.now(), blindUntil);
      for (const id of ids) orphans.set(id, from);
    },
    noteResumed: id => void orphans.delete(id),
    check: () => {
      const before = fleet.clock.now() - holdMs - SLACK_MS;
      for (const [id, from] of orphans) {
        if (from > before) continue;
        orphans.delete(id);
        const name = heldAt(id);
        if (name === undefined) continue;
        const message = `${name} still runs for an entry gone since ${from}`;
        return {invariant: 'e orphans are freed', message, request: id};
      }
      return undefined;
    },
  };
}
