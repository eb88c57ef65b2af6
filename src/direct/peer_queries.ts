/**
 * Questions between entries and their answers, in datagrams of their own. A
 * lost one is a question without an answer; the next goes to another entry.
 */
import type {Clock} from '../types/runtime.js';
import type {AnswerDatagram, AskDatagram} from './datagrams.js';
import type {EntryAddress, PeerAnswer, StoreKnowledge} from './types.js';

/**
 * An entry whose evidence is older does not reach the store itself. Another one
 * may: the store can turn some machines away and serve the others.
 */
const MAX_USEFUL_EVIDENCE_AGE_MS = 3_000;
/** An answer comes in milliseconds, or its entry is cut off or stands still. */
const ANSWER_TIMEOUT_MS = 400;

export interface PeerQueriesOptions {
  readonly clock: Clock;
  readonly self: EntryAddress;
  /**
   * Entries that may be asked, in an order that all entries share; with
   * `anyone`, those too that may lean on this one.
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
        const {node: by, ip, port} = peer;
        reply(knowledge && {...knowledge, askedAt, node: by, ip, port});
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
