/**
 * Requests that crash each replica that runs them, sent again and again under
 * new ids to drawn entries, or with a part that does so, of which no two are
 * alike; and the judgement how many replicas they ended.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../src/types/runtime.js';
import type {PoisonPart, PoisonRequest} from './poison_faults.js';
import {poisonBody, poisonPart} from './poison_labels.js';
import type {SoakFleet} from './soak_fleet.js';
import type {Violation} from './soak_judge.js';
import {SHARED_PART, keptConnections, sendRequest} from './soak_requests.js';
import type {Outcome} from './soak_requests.js';

/** Once it has ended so many replicas, entries are to refuse it. */
const ENDED = 3;
/** The same of a part. */
const ENDED_BY_PART = 5;
/** Second parts of requests whose first one crashes replicas. */
const SECOND_PARTS = 7;
/** All entries in touch know within this, and a busy machine's slack. */
const KNOWN_MS = 3_300;
/** After that it may be sent so many times more. */
const SENDS_MORE = 3;

interface Sent {
  readonly outcome: Outcome;
  /** The entry that took it was in touch when it did. */
  readonly isInTouch: boolean;
}

interface Poison {
  /** As the replicas record it; see `poison_labels.ts`. */
  readonly label: string;
  readonly fault: PoisonRequest | PoisonPart;
  readonly sent: Sent[];
}

export interface PoisonOptions {
  readonly fleet: SoakFleet;
  readonly random: Random;
  /** The key that callers are to use now. */
  key(): string;
  /** The entry is in touch with the store, and has been for `forMs`. */
  isInTouch(entry: number, forMs: number): boolean;
}

export interface Poisons {
  begin(fault: PoisonRequest | PoisonPart): void;
  /** Ends the callers; all that they got. */
  stop(): Promise<readonly Outcome[]>;
  judge(): readonly Violation[];
  /** Replicas that each ended. */
  ended(): readonly number[];
}

export function createPoisons(options: PoisonOptions): Poisons {
  const {fleet, random} = options;
  const poisons: Poison[] = [];
  const callers: Array<Promise<void>> = [];
  let isStopped = false;

  /** What it sends, beside the label's body or part. */
  const contentOf = ({label, fault, sent}: Poison) => {
    if (fault.kind === 'poison-request') return {prompt: label};
    const other = `e${sent.length % SECOND_PARTS}`;
    const parts = fault.isFirst ? [label, other] : [SHARED_PART, label];
    return {prompt: `prompt ${random.next()}`, parts};
  };
  const send = async (poison: Poison): Promise<void> => {
    const entry = Math.floor(random.next() * fleet.entries.length);
    const agent = keptConnections();
    const isInTouch = options.isInTouch(entry, KNOWN_MS);
    const asked = {
      id: `${poison.label}-${poison.sent.length}-${Math.round(random.next() * 1e9)}-at-${entry}`,
      entry,
      kind: poison.fault.path,
      key: options.key(),
      isLarge: false,
      ...contentOf(poison),
    };
    const {callers, isUndisturbedSince} = fleet.entries[entry];
    const outcome = await sendRequest(
      callers,
      agent,
      asked,
      isUndisturbedSince,
    );
    agent.destroy();
    poison.sent.push({outcome, isInTouch});
  };
  const repeat = async (poison: Poison) => {
    while (!isStopped) {
      await send(poison);
      await sleep(random.next() * 2 * poison.fault.everyMs);
    }
  };
  const crashesOf = ({label}: Poison) =>
    fleet.replicas
      .flatMap(it => it.crashes())
      .filter(it => it.body === label)
      .map(({at}) => at)
      .sort((a, b) => a - b);
  const judgeOne = (poison: Poison): readonly Violation[] => {
    const crashes = crashesOf(poison);
    const isPart = poison.fault.kind === 'poison-part';
    const counted = isPart ? ENDED_BY_PART : ENDED;
    const knownAt = (crashes[counted - 1] ?? Infinity) + KNOWN_MS;
    const runsOf = (id: string) =>
      fleet.replicas.reduce((sum, it) => sum + it.runs(id), 0);
    const more = poison.sent
      .filter(({isInTouch, outcome}) => isInTouch && outcome.sentAt > knownAt)
      .map(({outcome}) => runsOf(outcome.id))
      // Of a request, repeats in one attempt count as one; of a part, all do.
      .reduce((sum, runs) => sum + (isPart ? runs : Math.min(1, runs)), 0);
    if (more <= SENDS_MORE) return [];
    return [
      {
        promise: isPart
          ? 'a part that has crashed five replicas is hardly sent on'
          : 'what has crashed three replicas is hardly sent on',
        id: poison.label,
        detail: `${more} times more, ${crashes.length} ended in all`,
      },
    ];
  };

  return {
    begin: fault => {
      const labelOf = fault.kind === 'poison-part' ? poisonPart : poisonBody;
      const label = labelOf(poisons.length, fault.crashMs);
      const poison = {label, fault, sent: []};
      poisons.push(poison);
      for (let at = 0; at < fault.callers; at++) {
        callers.push(repeat(poison));
      }
    },
    stop: async () => {
      isStopped = true;
      await Promise.all(callers);
      return poisons.flatMap(({sent}) => sent.map(({outcome}) => outcome));
    },
    judge: () => poisons.flatMap(judgeOne),
    ended: () => poisons.map(it => crashesOf(it).length),
  };
}
