/**
 * A replica as a process of its own, so that it can be paused by a signal. It
 * tells its address and each run to the process that started it.
 */
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {
  answerWell,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';

/** What the program sends to its parent. */
export type ReplicaNews =
  | {readonly kind: 'listening'; readonly address: string}
  | {readonly kind: 'ran'; readonly id: string};

const [id = 'replica', events = '32', pauseMs = '60'] = process.argv.slice(2);

const tell = (news: ReplicaNews) => process.send?.(news);
const answerStream = streamTo(Number(events), Number(pauseMs));
const behave: Behaviour = (arrival, res, req) => {
  tell({kind: 'ran', id: arrival.id});
  const isStream = arrival.headers['x-token-usage'] !== undefined;
  (isStream ? answerStream : answerWell)(arrival, res, req);
};

const replica = await startReplica(id);
replica.answerState();
replica.behave(behave);
process.once('disconnect', () => process.exit(0));
tell({kind: 'listening', address: replica.address});
