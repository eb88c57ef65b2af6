/**
 * Questions between entries and their answers, in datagrams of their own. A
 * lost one is a question without an answer; the next goes to another entry.
 */
import type {Clock} from '../types/runtime.js';
import type {AnswerDatagram, AskDatagram} from './datagrams.js';
import type {EntryAddress, EntryAnswer, StoreKnowledge} from './types.js';

/**
 * An entry whose evidence is older does not reach the store itself. Another one
 * may: the store can turn some machines away and serve the others.
 */
const OLD_EVIDENCE_MS = 3_000;
/** An answer comes in milliseconds, or its entry is cut off or stands still. */
const ANSWER_MS = 400;

export interface EntryQuestionsOptions {
  readonly clock: Clock;
  readonly self: EntryAddress;
  /**
   * Entries that may be asked, in an order that all entries share; with
   * `anyone`, those too that may lean on this one.
   */
  candidates(anyone: boolean): readonly EntryAddress[];
  send(datagram: AskDatagram, to: EntryAddress): void;
}

export interface EntryQuestions {
  ask(anyone: boolean, reply: (answer: EntryAnswer | undefined) => void): void;
  answered(datagram: AnswerDatagram): void;
}

export function createEntryQuestions(
  options: EntryQuestionsOptions,
): EntryQuestions {
  const {clock, self} = options;
  const open = new Map<number, (knowledge?: StoreKnowledge) => void>();
  let questions = 0;
  let failures = 0;

  return {
    ask: (anyone, reply) => {
      const candidates = options.candidates(anyone);
      const to = candidates[failures % candidates.length];
      if (to === undefined) {
        reply(undefined);
        return;
      }
      const question = ++questions;
      const askedAt = clock.now();
      const settle = (knowledge?: StoreKnowledge) => {
        cancel();
        if (!open.delete(question)) return;
        if (!isOfUse(knowledge)) failures += 1;
        const {node: by, ip, port} = to;
        reply(knowledge && {...knowledge, askedAt, by, ip, port});
      };
      const cancel = clock.after(ANSWER_MS, settle);
      open.set(question, settle);
      options.send({kind: 'ask', from: self, question}, to);
    },
    answered: ({question, knowledge}) => open.get(question)?.(knowledge),
  };
}

function isOfUse(knowledge: StoreKnowledge | undefined): boolean {
  return (knowledge?.evidenceAgeMs ?? Infinity) <= OLD_EVIDENCE_MS;
}
