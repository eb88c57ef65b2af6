/**
 * Queries between entries and their answers, each in a datagram of its own. A
 * lost datagram leaves a query without an answer; the next query then goes to
 * another entry.
 */
import type {Clock} from '../types/runtime.js';
import type {AnswerDatagram, AskDatagram} from './datagrams.js';
import type {EntryAddress, PeerAnswer, StoreKnowledge} from './types.js';

/**
 * Evidence older than this, in milliseconds, means that the entry that answered
 * does not reach the store itself. The next query then goes to another entry:
 * the store may refuse some machines and serve the others.
 */
const MAX_USEFUL_EVIDENCE_AGE_MS = 3_000;
/**
 * How long an answer is awaited, in milliseconds. Answers take a few
 * milliseconds; after this time the other entry is considered disconnected or
 * frozen.
 */
const ANSWER_TIMEOUT_MS = 400;

export interface PeerQueriesOptions {
  readonly clock: Clock;
  readonly self: EntryAddress;
  /**
   * Entries that may be queried, in an order that is the same on all entries.
   * With `anyPeer`, they include entries that may in turn rely on this one.
   */
  candidates(anyPeer: boolean): readonly EntryAddress[];
  send(datagram: AskDatagram, to: EntryAddress): void;
}

export interface PeerQueries {
  query(
    anyPeer: boolean,
    reply: (answer: PeerAnswer | undefined) => void,
  ): void;
  handleAnswer(datagram: AnswerDatagram): void;
}

export function createPeerQueries(options: PeerQueriesOptions): PeerQueries {
  const {clock, self} = options;
  const pending = new Map<number, (knowledge?: StoreKnowledge) => void>();
  let lastQuestion = 0;
  let failures = 0;

  return {
    query: (anyPeer, reply) => {
      const candidates = options.candidates(anyPeer);
      const peer = candidates[failures % candidates.length];
      if (peer === undefined) {
        reply(undefined);
        return;
      }
      const question = ++lastQuestion;
      const askedAt = clock.now();
      const settle = (knowledge?: StoreKnowledge) => {
        cancel();
        if (!pending.delete(question)) return;
        if (!isUseful(knowledge)) failures += 1;
        const {node, ip, port} = peer;
        reply(knowledge && {...knowledge, askedAt, node, ip, port});
      };
      const cancel = clock.after(ANSWER_TIMEOUT_MS, settle);
      pending.set(question, settle);
      options.send({kind: 'ask', from: self, question}, peer);
    },
    handleAnswer: ({question, knowledge}) => pending.get(question)?.(knowledge),
  };
}

function isUseful(knowledge: StoreKnowledge | undefined): boolean {
  return (knowledge?.evidenceAgeMs ?? Infinity) <= MAX_USEFUL_EVIDENCE_AGE_MS;
}
