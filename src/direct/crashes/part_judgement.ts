/**
 * Judges the suspected parts of prompts together, a while after the crash that
 * makes one of them due: parts are compared with each other by their crashes.
 */
import type {Clock} from '../../types/runtime.js';
import {PART_THRESHOLD, blamedParts} from './part_verdict.js';
import type {Suspect} from './suspect.js';
import type {SuspectTable} from './suspect_table.js';

/**
 * Time from the third crash under a part until parts are judged, in
 * milliseconds. Other entries report their runs at the same replicas and which
 * of the parts ran well there.
 */
const SETTLE_MS = 300;

export interface PartJudgement {
  /** Judges all parts once the entries have reported their runs. */
  judgeSoon(): void;
  /** The same if the part has enough crashes and is not refused yet. */
  judgeIfDue(part: Suspect): void;
  /** See `Suspects.judgedInMs`. */
  judgedInMs(digest: string): number;
}

/** `quarantine` is called with each part that is to be refused. */
export function createPartJudgement(
  clock: Clock,
  suspects: SuspectTable,
  quarantine: (digest: string, suspect: Suspect) => void,
): PartJudgement {
  /** Undefined while no judgement is due. */
  let judgementAt: number | undefined;

  const isDue = ({ended, trials}: Suspect) =>
    ended.size >= PART_THRESHOLD && trials === undefined;
  const crashesOfParts = () =>
    suspects
      .current()
      .flatMap(([digest, {type, ended}]) =>
        type.kind === 'part' ? [{digest, ended, position: type.position}] : [],
      );
  const judgeParts = (): void => {
    judgementAt = undefined;
    const refused = suspects.endedUnderRequests();
    for (const {digest} of blamedParts(crashesOfParts(), refused)) {
      const suspect = suspects.find(digest);
      if (suspect === undefined || suspect.trials !== undefined) continue;
      quarantine(digest, suspect);
    }
  };
  const judgeSoon = (): void => {
    if (judgementAt !== undefined) return;
    judgementAt = clock.now() + SETTLE_MS;
    clock.after(SETTLE_MS, judgeParts);
  };

  return {
    judgeSoon,
    judgeIfDue: part => {
      if (isDue(part)) judgeSoon();
    },
    judgedInMs: digest => {
      if (judgementAt === undefined) return 0;
      const suspect = suspects.find(digest);
      const isJudged = suspect?.type.kind === 'part' && isDue(suspect);
      return isJudged ? Math.max(0, judgementAt - clock.now()) : 0;
    },
  };
}
