/**
 * Decides which parts of prompts crash replicas. A crash takes along all that
 * ran there, with all its parts, so innocent parts have ended replicas as well.
 * A part that ran well anywhere is innocent. Of the others, one that another
 * one explains is not blamed: if each crash of it is also one of the other. So
 * are crashes under a request that is refused by itself.
 */
/** Number of ended replicas from which on a part may be blamed. */
export const PART_THRESHOLD = 3;

/** Number of them that one refused request does not explain. */
const LEAST_UNEXPLAINED = 2;

/** Crashes under a part, no run of which ended well. */
export interface PartCrashes {
  readonly digest: string;
  readonly ended: ReadonlySet<string>;
  /** Index of the part in its prompts; the smallest one of those seen. */
  readonly position: number;
}

/**
 * Returns the parts to blame, among all that crashed and never ran well.
 * `refused` has the replicas that ended under each request that is refused by
 * itself. Each is compared alone: many of them together would hide a part.
 */
export function blamedParts(
  crashes: readonly PartCrashes[],
  refused: ReadonlyArray<ReadonlySet<string>>,
): readonly PartCrashes[] {
  const candidates = crashes.filter(
    ({ended}) =>
      ended.size >= PART_THRESHOLD &&
      refused.every(by => unexplained(ended, by) >= LEAST_UNEXPLAINED),
  );
  return candidates.filter(
    part => !candidates.some(other => explains(other, part)),
  );
}

/**
 * Whether each crash is also one of a part that is refused: a run beside the
 * part that had these crashes then tells about others. `refused` has the
 * replicas that ended under each such part. All are compared together, since a
 * shared part runs beside any of them.
 */
export function isExplained(
  ended: ReadonlySet<string>,
  refused: ReadonlyArray<ReadonlySet<string>>,
): boolean {
  return [...ended].every(id => refused.some(by => by.has(id)));
}

/**
 * Whether the crashes of `part` are rather those of `other`. With the same
 * crashes, the later part of a prompt is blamed, since fewer requests share it.
 */
function explains(other: PartCrashes, part: PartCrashes): boolean {
  if (other === part || !covers(other, part)) return false;
  return other.ended.size > part.ended.size || other.position > part.position;
}

function covers({ended: all}: PartCrashes, {ended}: PartCrashes): boolean {
  return [...ended].every(id => all.has(id));
}

function unexplained(
  ended: ReadonlySet<string>,
  by: ReadonlySet<string>,
): number {
  return [...ended].filter(id => !by.has(id)).length;
}
