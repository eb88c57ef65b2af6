/**
 * Reports of what this entry knows about the store: to peers that query it, and
 * to operators when a peer's answers begin or cease to replace its own calls.
 */
import type {ServiceContext} from '../../types/kernel.js';
import {createStepReport} from '../boundary/contained_errors.js';
import {answerWithin} from '../../utils/answer_limit.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {EvidenceReport} from '../messages.js';
import type {PeerAnswer, StoreKnowledge} from '../types.js';

/**
 * Longest wait for the age of the evidence, in milliseconds. A peer waits at least
 * 400 ms for the whole answer.
 */
const EVIDENCE_LIMIT_MS = 200;

/** What is known, without the age of the evidence for it. */
export type OwnKnowledge = Omit<
  StoreKnowledge,
  'evidenceAgeMs' | 'evidenceSource'
>;

export interface KnowledgeReports {
  /** Replies with what this entry knows and the age of its evidence. */
  reply(reply: (knowledge: StoreKnowledge) => void): Promise<void>;
  /**
   * Logs that a peer's answers begin or cease to replace calls to the store.
   */
  logCover(isActive: boolean, answer: PeerAnswer | undefined): void;
}

export function createKnowledgeReports(
  ctx: ServiceContext<'followed'>,
  ownKnowledge: () => OwnKnowledge,
): KnowledgeReports {
  const reportError = createStepReport(ctx);
  // The service that has the evidence may be starting again, or take no messages.
  const withoutEvidence = (err: unknown): EvidenceReport => {
    reportError(err, 'knowledge for a peer');
    return {ageMs: Infinity, source: undefined};
  };
  const askEvidence = () =>
    ctx.ask('direct', (answer: (evidence: EvidenceReport) => void) => ({
      kind: 'evidence',
      reply: answer,
    }));
  return {
    reply: async reply => {
      const {ageMs, source} = await answerWithin(
        ctx.clock,
        EVIDENCE_LIMIT_MS,
        askEvidence(),
      ).catch(withoutEvidence);
      // JSON cannot represent an infinite age.
      const evidenceAgeMs = Number.isFinite(ageMs) ? ageMs : undefined;
      reply({...ownKnowledge(), evidenceAgeMs, evidenceSource: source});
    },
    logCover: (isActive, answer) => {
      const {coverBegan, coverEnded} = DIRECT_EVENTS;
      ctx.metrics.gauge('onyxloft_direct_covered', {}, isActive ? 1 : 0);
      ctx.log(isActive ? coverBegan : coverEnded, {
        entry: answer?.node,
        evidenceAgeMs: answer?.evidenceAgeMs,
        version: answer?.configVersion,
      });
    },
  };
}
