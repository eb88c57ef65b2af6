/**
 * The size that the system is built towards. Figures are the users', but for
 * those under `ASSUMED`, which the sums need and nobody has given.
 */

export const TARGET = {
  entries: 370,
  replicas: 600,
  requestsPerSec: 3_900,
  tokensPerSec: 1_200_000,
  longShare: 1 / 50,
  organisations: 1_500,
  changesPerDay: 2_300,
  /** Time to first token and between tokens for 95 in 100. */
  firstTokenSec: 0.88,
  betweenTokensSec: 0.079,
} as const;

/** For control, on each node. */
export const BUDGET = {
  cpuPercent: 2.6,
  memoryMb: 32,
  bytesPerSec: 5_000,
} as const;

export const ASSUMED = {
  /** Replicas that an entry follows, as its settings have it. */
  followed: 24,
  /** Changes come in the busiest hour at so many times the day's mean. */
  changesPeak: 10,
  /** Mean size of a prompt over a hundred thousand tokens. */
  longPromptMb: 1.2,
  /** How long such a prompt is held, queue and prefill together. */
  longPromptSec: 30,
  /** Share of requests that may run once only. */
  onceShare: 0.05,
  /** What the object API takes. */
  storeWritesPerSec: 300,
  storeReadsPerSec: 2_000,
} as const;

const DAY_SEC = 86_400;

/** Entries that follow one side. */
export const FOLLOWERS = (TARGET.entries * ASSUMED.followed) / TARGET.replicas;
export const HOSTS = TARGET.entries + TARGET.replicas;
export const CHANGES_PER_SEC =
  (TARGET.changesPerDay / DAY_SEC) * ASSUMED.changesPeak;
const TOKENS_PER_REQUEST = TARGET.tokensPerSec / TARGET.requestsPerSec;
/** At the slowest pace that is still in time for 95 in 100. */
export const OPEN_REQUESTS =
  TARGET.requestsPerSec *
  (TARGET.firstTokenSec + TOKENS_PER_REQUEST * TARGET.betweenTokensSec);
export const OPEN_LONG_MB =
  TARGET.requestsPerSec *
  TARGET.longShare *
  ASSUMED.longPromptSec *
  ASSUMED.longPromptMb;
