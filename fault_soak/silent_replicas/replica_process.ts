/** A replica as a process of its own, with signals from outside. */
import {fork} from 'node:child_process';
import {join} from 'node:path';
import type {ReplicaCommand, ReplicaNews} from './replica_program.js';

/** This module runs from the build folder, or as source. */
const PROGRAM_DIR = import.meta.filename.endsWith('.ts')
  ? join(import.meta.dirname, '..', '..', 'dist', 'fault_soak')
  : join(import.meta.dirname, '..');
const PROGRAM = join(PROGRAM_DIR, 'silent_replicas', 'replica_program.js');

export interface ReplicaShape {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  /** Events of a stream, and the pause between two of them. */
  readonly events: number;
  readonly pauseMs: number;
}

/** Steady times, in milliseconds. */
export interface Span {
  readonly from: number;
  /** Infinity while it lasts. */
  readonly to: number;
}

export interface ReplicaProcess {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  readonly address: string;
  /** How often it began to run the request. */
  runs(requestId: string): number;
  /** How often the request reached it and was refused. */
  refusals(requestId: string): number;
  /** It had a run of the request that had not ended by then. */
  isAtWork(requestId: string, at: number): boolean;
  /** It was killed in this time, with a run of the request that had not ended. */
  brokeOff(requestId: string, from: number, to: number): boolean;
  pause(): void;
  wake(): void;
  /** Pauses it for good. */
  hang(): void;
  /** Times in which it was paused, but for the one without an end. */
  silences(): readonly Span[];
  /** From now on it refuses all requests as full. */
  refuse(): void;
  /** From now on all its answers have these headers. */
  state(headers: Readonly<Record<string, string>>): void;
  /** SIGKILL. */
  end(): void;
}

export async function startReplicaProcess(
  shape: ReplicaShape,
): Promise<ReplicaProcess> {
  const {id, service, domain, events, pauseMs} = shape;
  const child = fork(PROGRAM, [id, String(events), String(pauseMs)]);
  const ran = new Map<string, number>();
  const refused = new Map<string, number>();
  const endedAt = new Map<string, number>();
  const silences: Span[] = [];
  let pausedAt: number | undefined;
  let killedAt: number | undefined;
  let isHung = false;
  const address = await new Promise<string>((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', code => reject(new Error(`${id} ended with ${code}`)));
    child.on('message', (news: ReplicaNews) => {
      if (news.kind === 'listening') resolve(news.address);
      else if (news.kind === 'ended') endedAt.set(news.id, performance.now());
      else {
        const counts = news.kind === 'ran' ? ran : refused;
        counts.set(news.id, (counts.get(news.id) ?? 0) + 1);
        if (news.kind === 'ran') endedAt.delete(news.id);
      }
    });
  });
  const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
  const command = (it: ReplicaCommand) => {
    if (child.connected) child.send(it, () => undefined);
  };
  const wake = () => {
    if (pausedAt === undefined || isHung) return;
    silences.push({from: pausedAt, to: performance.now()});
    pausedAt = undefined;
    if (!hasEnded()) child.kill('SIGCONT');
  };
  return {
    id,
    service,
    domain,
    address,
    runs: requestId => ran.get(requestId) ?? 0,
    refusals: requestId => refused.get(requestId) ?? 0,
    isAtWork: (requestId, at) =>
      ran.has(requestId) && (endedAt.get(requestId) ?? Infinity) > at,
    brokeOff: (requestId, from, to) =>
      killedAt !== undefined &&
      killedAt >= from &&
      killedAt <= to &&
      ran.has(requestId) &&
      !endedAt.has(requestId),
    pause: () => {
      if (hasEnded()) return;
      pausedAt ??= performance.now();
      child.kill('SIGSTOP');
    },
    wake,
    hang: () => {
      wake();
      isHung = true;
      child.kill('SIGSTOP');
    },
    silences: () =>
      pausedAt === undefined || isHung
        ? silences
        : [...silences, {from: pausedAt, to: Infinity}],
    refuse: () => command({kind: 'refuse'}),
    state: headers => command({kind: 'state', headers}),
    end: () => {
      wake();
      killedAt ??= performance.now();
      child.kill('SIGKILL');
    },
  };
}
