/**
 * Requests that crash each replica that runs them, sent again and again under
 * new ids to drawn entries, and the judgement how many replicas they ended.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../src/types/runtime.js';
import type {PoisonRequest} from './faults.js';
import type {SoakFleet} from './soak_fleet.js';
import type {Violation} from './soak_judge.js';
import {keptConnections, sendRequest} from './soak_requests.js';
import type {Outcome} from './soak_requests.js';

/** Once it has ended so many replicas, entries are to refuse it. */
const ENDED = 3;
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
  readonly body: string;
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
  begin(fault: PoisonRequest): void;
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

  const send = async (poison: Poison, {path}: PoisonRequest): Promise<void> => {
    const entry = Math.floor(random.next() * fleet.entries.length);
    const agent = keptConnections();
    const isInTouch = options.isInTouch(entry, KNOWN_MS);
    const asked = {
      id: `${poison.body}-${poison.sent.length}-${Math.round(random.next() * 1e9)}-at-${entry}`,
      entry,
      kind: path,
      key: options.key(),
      isLarge: false,
      prompt: poison.body,
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
  const repeat = async (poison: Poison, fault: PoisonRequest) => {
    while (!isStopped) {
      await send(poison, fault);
      await sleep(random.next() * 2 * fault.everyMs);
    }
  };
  const crashesOf = ({body}: Poison) =>
    fleet.replicas
      .flatMap(it => it.crashes())
      .filter(it => it.body === body)
      .map(({at}) => at)
      .sort((a, b) => a - b);
  const judgeOne = (poison: Poison): readonly Violation[] => {
    const crashes = crashesOf(poison);
    const knownAt = (crashes[ENDED - 1] ?? Infinity) + KNOWN_MS;
    const more = poison.sent
      .filter(({isInTouch, outcome}) => isInTouch && outcome.sentAt > knownAt)
      .map(({outcome}) => outcome.id)
      .filter(id => fleet.replicas.some(it => it.runs(id) > 0));
    if (more.length <= SENDS_MORE) return [];
    return [
      {
        promise: 'what has crashed three replicas is hardly sent on',
        id: poison.body,
        detail: `${more.length} times more, ${crashes.length} ended in all`,
      },
    ];
  };

  return {
    begin: fault => {
      const body = `poison-${poisons.length}-${Math.round(fault.crashMs)}`;
      const poison = {body, sent: []};
      poisons.push(poison);
      for (let at = 0; at < fault.callers; at++) {
        callers.push(repeat(poison, fault));
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
