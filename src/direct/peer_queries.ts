/**
 * Queries to peers, which are the other entries, and their answers, each in a
 * datagram of its own. A lost datagram leaves a query without an answer; the
 * next query then goes to another peer. An answer that comes after that shows
 * how long to wait for the next one.
 */
import {createAnswerTimes} from '../stores/answer_times.js';
import type {Clock} from '../types/runtime.js';
import type {AnswerDatagram, AskDatagram} from './datagrams.js';
import type {EntryAddress, PeerAnswer, StoreKnowledge} from './types.js';

/**
 * Evidence older than this, in milliseconds, means that the peer that answered
 * does not reach the store itself. The next query then goes to another peer:
 * the store may refuse some machines and serve the others.
 */
const MAX_USEFUL_EVIDENCE_AGE_MS = 3_000;
/**
 * Shortest time for which an answer is awaited, in milliseconds. Answers take a
 * few milliseconds; after this time the peer is considered disconnected or
 * frozen. Where the machines are loaded, the limit follows the answers.
 */
const MIN_OVERDUE_MS = 400;
/** Longest such time: queries of other peers wait meanwhile. */
const MAX_OVERDUE_MS = 1_500;
/** Answers that are later than this, in milliseconds, are not recognised. */
const FORGET_MS = 4_000;

export interface PeerQueriesOptions {
  readonly clock: Clock;
  readonly self: EntryAddress;
  /**
   * Peers that may be queried, in an order that is the same on all entries.
   * With `anyPeer`, they include peers that may in turn rely on this one.
   */
  candidates(anyPeer: boolean): readonly EntryAddress[];
  send(datagram: AskDatagram, to: EntryAddress): void;
}

export interface PeerQueries {
  /** Replies with undefined when no peer answers in time. */
  query(
    anyPeer: boolean,
    reply: (answer: PeerAnswer | undefined) => void,
  ): void;
  /** Completes the open query that the datagram answers, if there is one. */
  handleAnswer(datagram: AnswerDatagram): void;
}

export function createPeerQueries(options: PeerQueriesOptions): PeerQueries {
  const {clock, self} = options;
  const times = createAnswerTimes({
    clock,
    floorMs: MIN_OVERDUE_MS,
    ceilingMs: MAX_OVERDUE_MS,
  });
  /** Questions that were sent lately and not answered, also overdue ones. */
  const open = new Map<number, (knowledge: StoreKnowledge) => void>();
  let lastQuestion = 0;
  let failures = 0;

  /** Forgets the question some time after its answer was overdue. */
  const register = (onAnswer: (knowledge: StoreKnowledge) => void): number => {
    const question = ++lastQuestion;
    const sentAt = clock.now();
    const cancel = clock.after(FORGET_MS, () => open.delete(question));
    open.set(question, knowledge => {
      open.delete(question);
      cancel();
      times.answered(clock.now() - sentAt);
      onAnswer(knowledge);
    });
    return question;
  };

  return {
    query: (anyPeer, reply) => {
      const candidates = options.candidates(anyPeer);
      const peer = candidates[failures % candidates.length];
      if (peer === undefined) {
        reply(undefined);
        return;
      }
      const askedAt = clock.now();
      let isSettled = false;
      const settle = (knowledge?: StoreKnowledge): void => {
        if (isSettled) return;
        isSettled = true;
        cancel();
        const {node, ip, port} = peer;
        // The one who asked waits for it without a time limit.
        reply(knowledge && {...knowledge, askedAt, node, ip, port});
        if (!isUseful(knowledge)) failures += 1;
      };
      const cancel = clock.after(times.limitMs(), settle);
      const question = register(settle);
      options.send({kind: 'ask', from: self, question}, peer);
    },
    handleAnswer: ({question, knowledge}) => open.get(question)?.(knowledge),
  };
}

function isUseful(knowledge: StoreKnowledge | undefined): boolean {
  return (knowledge?.evidenceAgeMs ?? Infinity) <= MAX_USEFUL_EVIDENCE_AGE_MS;
}
