/**
 * Traffic whose prompts share parts, of which one or more crash each replica
 * that begins to answer a request with them. No two requests are alike. A
 * replica that ended is back after a moment, as a new start.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {announce} from '../../standins/users_platform/deployment.js';
import type {
  Arrival,
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {callEntry} from './direct_fleet.js';
import type {CallerAnswer, DirectFleet} from './direct_fleet.js';

/** A dead replica's record is removed from the store after this time. */
const RECORD_EXPIRY_MS = 200;
const RESTART_MS = 800;
/** Pause between two requests of either kind. */
const SOUND_EVERY_MS = 40;
const BAD_EVERY_MS = 90;

/** What a replica does when it runs a request with a bad part. */
export type Ending = (
  replica: ReplicaStandIn,
  ...run: Parameters<Behaviour>
) => void;

export interface CrashingReplicas {
  /** Times at which replicas ended; steady time, in milliseconds. */
  readonly endedAt: readonly number[];
  /** Arrivals of requests with one of the parts later than this. */
  arrivalsAfter(at: number): readonly Arrival[];
}

/** Ends the replicas under requests that share one of the bad parts. */
export function endUnderParts(
  store: DirectFleet['store'],
  service: 'pool' | 'desk',
  replicas: readonly ReplicaStandIn[],
  bad: readonly string[],
  {ending, other}: {readonly ending: Ending; readonly other: Behaviour},
): CrashingReplicas {
  const endedAt: number[] = [];
  const isBad = ({headers}: Arrival) => {
    const shared = String(headers['x-prompt-prefix']).split(',').slice(0, -1);
    return shared.some(part => bad.includes(part.split(':')[0]));
  };
  for (const replica of replicas) {
    let starts = 1;
    let isEnding = false;
    const idOf = (start: number) =>
      start === 1 ? replica.id : `${replica.id}-${start}`;
    const restart = async (): Promise<void> => {
      await sleep(RECORD_EXPIRY_MS);
      store.remove('servers', idOf(starts));
      await sleep(RESTART_MS);
      await replica.restart().catch(() => undefined);
      isEnding = false;
      starts++;
      announce(store, {...replica, id: idOf(starts)}, service);
    };
    const end: Ending = (it, ...run) => {
      if (isEnding) return;
      isEnding = true;
      ending(
        {
          ...it,
          crash: () => {
            endedAt.push(performance.now());
            it.crash();
            void restart();
          },
          endInOrder: () => {
            endedAt.push(performance.now());
            it.endInOrder();
            void restart();
          },
        },
        ...run,
      );
    };
    replica.behave((arrival, res, req) => {
      if (isBad(arrival)) end(replica, arrival, res, req);
      else other(arrival, res, req);
    });
  }
  return {
    endedAt,
    arrivalsAfter: at =>
      replicas
        .flatMap(({arrivals}) => arrivals)
        .filter(arrival => isBad(arrival) && arrival.at > at),
  };
}

/** A request and how it ended for its caller. */
export interface Sent {
  readonly at: number;
  /** Undefined where no answer began. */
  readonly answer: CallerAnswer | undefined;
}

export interface TrafficOptions {
  /** Entries that callers use now. */
  readonly entries: () => readonly DirectFleet[];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Shared parts of the prompts, by their number. */
  readonly sound: (at: number) => readonly string[];
  readonly bad: (at: number) => readonly string[];
}

export interface Traffic {
  readonly sound: readonly Sent[];
  /** Bad requests are sent from now on. */
  startBad(): void;
  stop(): Promise<void>;
}

/** Sends sound requests until it is stopped, and bad ones when told. */
export function startTraffic(options: TrafficOptions): Traffic {
  const sound: Sent[] = [];
  const open = new Set<Promise<void>>();
  let isStopped = false;
  let count = 0;

  const send = async (parts: readonly string[], sent: Sent[]) => {
    const entries = options.entries();
    const at = performance.now();
    const own = `${++count}`;
    const headers = {
      ...options.headers,
      'X-Prompt-Prefix': [...parts, own].map(part => `${part}:9`).join(','),
    };
    const answer = await callEntry(
      entries[count % entries.length],
      options.path,
      {headers, body: `prompt ${own}`},
    ).catch(() => undefined);
    sent.push({at, answer});
  };
  const sendAll = async (
    partsOf: (at: number) => readonly string[],
    everyMs: number,
    sent: Sent[],
  ) => {
    for (let at = 0; !isStopped; at++) {
      const one = send(partsOf(at), sent);
      open.add(one);
      void one.finally(() => open.delete(one));
      await sleep(everyMs);
    }
  };

  const loops = [sendAll(options.sound, SOUND_EVERY_MS, sound)];
  return {
    sound,
    startBad: () => {
      loops.push(sendAll(options.bad, BAD_EVERY_MS, []));
    },
    stop: async () => {
      isStopped = true;
      await Promise.all(loops);
      await Promise.all(open);
    },
  };
}

/** Share of the requests sent within a period that got whole answers. */
export function servedShare(
  sent: readonly Sent[],
  from: number,
  to: number,
): number {
  const within = sent.filter(({at}) => at >= from && at < to);
  const served = within.filter(
    ({answer}) => answer?.status === 200 && answer.whole,
  );
  return served.length / within.length;
}
