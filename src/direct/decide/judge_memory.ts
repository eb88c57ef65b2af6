/**
 * Decides whether the memory that a group's members have reserved is kept. The
 * load that it answers: replicas that are paused for a second or two beside
 * long prompts. A missing answer proves neither that the lead has ended nor
 * that the memory is unused, and releasing the memory cuts the run. So without
 * an answer the memory is kept for as long as the last answer allows.
 */

/** Why a group's memory is released before its request ended. */
export type GroupLoss =
  'the lead is silent' | 'the lead has restarted' | 'the memory is unused';

/** What is known of the lead after a check. */
export type LeadState = 'alive' | 'silent' | 'restarted';

/**
 * Use of a member's memory as the member reports it; `untold` when its report
 * lists no reservations.
 */
export type MemoryUse = 'used' | 'unused' | 'untold';

/** Times are on this process's clock, in milliseconds. */
export interface MemoryEvidence {
  readonly now: number;
  readonly lead: LeadState;
  /** Undefined when no member has answered. */
  readonly use: MemoryUse | undefined;
  /** The latest time at which the memory was known to be used, or reserved. */
  readonly lastUseAt: number;
  /** Time of the lead's first answer after a silence. */
  readonly leadBackAt: number;
  readonly leasesEndAt: number;
}

export interface MemoryBounds {
  /** Duration of one lease. */
  readonly holdMs: number;
  /** Time after which memory that a member reports as unused is released. */
  readonly unusedMs: number;
}

/** `unsure` keeps the memory as well, and asks again after a short while. */
export type MemoryVerdict = 'keep' | 'unsure' | GroupLoss;

/** The time at which the memory is released if no further answer comes. */
export function memoryDeadline(
  {lastUseAt, leasesEndAt}: Pick<MemoryEvidence, 'lastUseAt' | 'leasesEndAt'>,
  {holdMs}: MemoryBounds,
): number {
  return Math.min(leasesEndAt, lastUseAt + holdMs);
}

export function judgeMemory(
  evidence: MemoryEvidence,
  bounds: MemoryBounds,
): MemoryVerdict {
  const {now, lead, use, lastUseAt, leadBackAt, leasesEndAt} = evidence;
  if (lead === 'restarted') return 'the lead has restarted';
  if (now >= leasesEndAt) return 'the lead is silent';
  if (now >= lastUseAt + bounds.holdMs) return 'the memory is unused';
  if (lead === 'silent' || use === undefined) return 'unsure';
  if (use !== 'unused') return 'keep';
  // A lead starts no request while it is silent.
  const unusedSince = Math.max(lastUseAt, leadBackAt);
  if (now - unusedSince > bounds.unusedMs) return 'the memory is unused';
  return leadBackAt > lastUseAt ? 'unsure' : 'keep';
}
