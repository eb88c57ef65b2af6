/** A replica as a process of its own, with signals from outside. */
import {fork} from 'node:child_process';
import {join} from 'node:path';
import type {ReplicaNews} from './replica_program.js';

/** This module runs from the build folder, or as source. */
const PROGRAM_DIR = import.meta.filename.endsWith('.ts')
  ? join(import.meta.dirname, '..', '..', 'dist', 'fault_soak')
  : join(import.meta.dirname, '..');
const PROGRAM = join(PROGRAM_DIR, 'silent_replicas', 'replica_program.js');

export interface ReplicaShape {
  readonly id: string;
  /** Events of a stream, and the pause between two of them. */
  readonly events: number;
  readonly pauseMs: number;
}

export interface ReplicaProcess {
  readonly id: string;
  readonly address: string;
  /** How often it began to run the request. */
  runs(requestId: string): number;
  pause(): void;
  wake(): void;
  isPaused(): boolean;
  /** SIGKILL. */
  end(): void;
}

export async function startReplicaProcess({
  id,
  events,
  pauseMs,
}: ReplicaShape): Promise<ReplicaProcess> {
  const child = fork(PROGRAM, [id, String(events), String(pauseMs)]);
  const ran = new Map<string, number>();
  let isPaused = false;
  const address = await new Promise<string>((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', code => reject(new Error(`${id} ended with ${code}`)));
    child.on('message', (news: ReplicaNews) => {
      if (news.kind === 'listening') resolve(news.address);
      else ran.set(news.id, (ran.get(news.id) ?? 0) + 1);
    });
  });
  return {
    id,
    address,
    runs: requestId => ran.get(requestId) ?? 0,
    pause: () => {
      isPaused = child.kill('SIGSTOP');
    },
    wake: () => {
      child.kill('SIGCONT');
      isPaused = false;
    },
    isPaused: () => isPaused,
    end: () => void child.kill('SIGKILL'),
  };
}
