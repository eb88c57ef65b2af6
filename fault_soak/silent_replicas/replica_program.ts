/**
 * A replica as a process of its own, so that it can be paused by a signal. It
 * tells the process that started it its address, each run and its end, and each
 * request that it refused.
 */
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {
  answerWell,
  refuse,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';

/** What the program sends to its parent. */
export type ReplicaNews =
  | {readonly kind: 'listening'; readonly address: string}
  | {readonly kind: 'ran'; readonly id: string}
  | {readonly kind: 'ended'; readonly id: string}
  | {readonly kind: 'refused'; readonly id: string};

/** What the parent sends. */
export type ReplicaCommand =
  | {readonly kind: 'refuse'}
  | {
      readonly kind: 'state';
      readonly headers: Readonly<Record<string, string>>;
    };

const [id = 'replica', events = '32', pauseMs = '60'] = process.argv.slice(2);

const tell = (news: ReplicaNews) => process.send?.(news);
const answerStream = streamTo(Number(events), Number(pauseMs));
const behave: Behaviour = (arrival, res, req) => {
  tell({kind: 'ran', id: arrival.id});
  res.once('close', () => tell({kind: 'ended', id: arrival.id}));
  const isStream = arrival.headers['x-token-usage'] !== undefined;
  (isStream ? answerStream : answerWell)(arrival, res, req);
};
const refuseAll: Behaviour = (arrival, res, req) => {
  tell({kind: 'refused', id: arrival.id});
  refuse(arrival, res, req);
};

/** Requests follow their reservations at once, so all memory is in use. */
class AllMemory extends Set<string> {
  override has(): boolean {
    return true;
  }
}

const replica = await startReplica(id);
replica.answerState(new AllMemory());
replica.behave(behave);
process.on('message', (command: ReplicaCommand) => {
  if (command.kind === 'refuse') replica.behave(refuseAll);
  else replica.stateInAll(command.headers);
});
process.once('disconnect', () => process.exit(0));
tell({kind: 'listening', address: replica.address});
