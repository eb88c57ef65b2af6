/**
 * The `claims` service. It records each idempotency key as one object in the
 * platform's store, created only if absent, so that a request runs at most
 * once. A request that must not be repeated runs only after its claim is
 * confirmed. While the store is unavailable, such requests are refused as not
 * run.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {OnyxError} from '../../types/errors.js';
import type {ServiceContext, ServiceSpec} from '../../types/kernel.js';
import type {ObjectStore, StoredObject} from '../../types/platform.js';
import type {ClaimOutcome, ClaimsMessage} from '../../types/services.js';
import {PLATFORM_EVENTS} from '../../utils/events.js';
import {
  claimObjectKey,
  formatClaimRecord,
  parseClaimRecord,
} from './claim_record.js';
import type {ClaimRecord} from './claim_record.js';
import {createClaimError} from './claim_error.js';
import {createRecentMap} from '../../utils/recent_map.js';

/** Random bytes in a claim's nonce. */
const NONCE_BYTES = 12;
const DEFAULT_MAX_ATTEMPTS = 3;
const DEFAULT_TIME_LIMIT_MS = 2_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;
/**
 * Delay before the first retry of a failed attempt, in milliseconds; doubles
 * with each retry.
 */
const RETRY_BACKOFF_MS = 20;
/**
 * Maximum number of keys remembered per process, each for unresolved and for
 * successful claims. Beyond it, the oldest are forgotten.
 */
const MAX_REMEMBERED_KEYS = 10_000;

/** Counter of claims by outcome. */
export const CLAIMS_METRIC = 'onyxloft_claims_total';

export interface ClaimsOptions {
  readonly store: ObjectStore;
  /**
   * Maximum attempts per claim; each is a create and, if needed, a read.
   * @default 3
   */
  readonly maxAttempts?: number;
  /**
   * Time after which no new attempt is started, in milliseconds. @default 2000
   */
  readonly timeLimitMs?: number;
  /**
   * Minimum delay before a retry that is sent to refused callers, in
   * milliseconds. @default 1000
   */
  readonly retryAfterMs?: number;
}

/** Result of one attempt: an outcome for the caller, or none yet. */
type AttemptResult =
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  /**
   * No claim with another nonce was found, and this request's claim is not
   * confirmed.
   */
  | {readonly kind: 'open'}
  /** The store did not answer, so nothing is known of the key. */
  | {readonly kind: 'no-answer'};

const OURS: AttemptResult = {kind: 'settled', outcome: {kind: 'ours'}};
const UNCLAIMED: AttemptResult = {kind: 'open'};
const NO_ANSWER: AttemptResult = {kind: 'no-answer'};

type ClaimResult = Either<OnyxError, ClaimOutcome>;

export function createClaimsService(
  options: ClaimsOptions,
): ServiceSpec<'claims'> {
  return {
    name: 'claims',
    start: ctx => {
      const claim = createClaimer(options, ctx);
      void ctx.mailbox.observe(message => {
        claim(message).then(message.reply, cause => ctx.fail(cause));
      });
    },
  };
}

/**
 * Returns the function that claims keys. Claims of the same key run one after
 * the other; claims of different keys run concurrently.
 */
function createClaimer(options: ClaimsOptions, ctx: ServiceContext<'claims'>) {
  const {store, maxAttempts = DEFAULT_MAX_ATTEMPTS} = options;
  const {timeLimitMs = DEFAULT_TIME_LIMIT_MS} = options;
  const {retryAfterMs = DEFAULT_RETRY_AFTER_MS} = options;
  const {clock, random, log, metrics} = ctx;
  const pendingByKey = new Map<string, Promise<unknown>>();
  // Claims that were refused while it was unknown whether they were stored.
  // Such a claim may be stored although its request never ran, which would make
  // the key unusable. A repeat in this process reuses the nonce and so takes
  // over the stored claim.
  const unresolvedByKey = createRecentMap<ClaimRecord>(MAX_REMEMBERED_KEYS);
  const ownedRequestByKey = createRecentMap<string>(MAX_REMEMBERED_KEYS);

  const sleep = (ms: number) =>
    new Promise<void>(resolve => {
      clock.after(ms, resolve);
    });

  /** Runs `job` after all earlier jobs of the same key in this process. */
  const runExclusive = async <T>(
    key: string,
    job: () => Promise<T>,
  ): Promise<T> => {
    // Two concurrent repeats would both recognise an unresolved claim by its
    // nonce, and both would run. In sequence, the second one finds the key
    // taken.
    const result = (pendingByKey.get(key) ?? Promise.resolve()).then(job, job);
    pendingByKey.set(key, result);
    try {
      return await result;
    } finally {
      if (pendingByKey.get(key) === result) pendingByKey.delete(key);
    }
  };

  const attemptClaim = async (
    key: string,
    mine: ClaimRecord,
  ): Promise<AttemptResult> => {
    const created = await store.create(key, formatClaimRecord(mine), 'claim');
    if (created.isRight()) return OURS;
    const {kind, effect} = created.swap().unsafeCoerce();
    if (kind === 'unavailable' && effect === 'none') return NO_ANSWER;
    if (kind === 'unavailable') unresolvedByKey.set(key, mine);
    // A conflict may be with this claim's own earlier attempt, whose response
    // was lost. After a lost response the record may or may not be stored. The
    // read below shows whether it is, and whose claim it is.
    return readBack(key, mine);
  };

  const readBack = async (
    key: string,
    mine: ClaimRecord,
  ): Promise<AttemptResult> => {
    const read = await store.get(key, 'claim');
    if (read.isLeft()) return NO_ANSWER;
    const object = read.unsafeCoerce().extract();
    if (object === undefined) return UNCLAIMED;
    const theirs = parseClaimRecord(object.value).extract();
    if (theirs?.nonce === mine.nonce) return reuseClaim(object, theirs, mine);
    const requestId = theirs?.requestId ?? '';
    return {kind: 'settled', outcome: {kind: 'taken', requestId}};
  };

  /**
   * Writes this request's id to a claim that an earlier request of this process
   * made.
   */
  const reuseClaim = async (
    object: StoredObject,
    stored: ClaimRecord,
    mine: ClaimRecord,
  ): Promise<AttemptResult> => {
    if (stored.requestId === mine.requestId) return OURS;
    const value = formatClaimRecord(mine);
    const {key, version} = object;
    const written = await store.update(key, value, version, 'claim');
    return written.isRight() ? OURS : UNCLAIMED;
  };

  const attemptUntilSettled = async (
    key: string,
    mine: ClaimRecord,
  ): Promise<ClaimOutcome | undefined> => {
    const endAt = clock.now() + timeLimitMs;
    for (let count = 0; count < maxAttempts && clock.now() < endAt; count++) {
      if (count > 0) {
        const pauseMs = RETRY_BACKOFF_MS * 2 ** (count - 1);
        await sleep(pauseMs * (0.5 + random.next()));
      }
      const result = await attemptClaim(key, mine);
      if (result.kind === 'settled') return result.outcome;
    }
    return undefined;
  };

  const refuse = (message: ClaimsMessage, key: string): ClaimResult => {
    if (unresolvedByKey.get(key) !== undefined) {
      log(PLATFORM_EVENTS.claimUnknown, {
        requestId: message.requestId,
        organisation: message.organisation,
        key,
      });
    }
    return Left(createClaimError(message.requestId, retryAfterMs, random));
  };

  const recordClaimed = (key: string, message: ClaimsMessage) => {
    const before = ownedRequestByKey.get(key) ?? message.requestId;
    ctx.invariant(before === message.requestId, 'claimed-once', {
      key,
      requestId: message.requestId,
      before,
    });
    ownedRequestByKey.set(key, message.requestId);
  };

  const claim = async (
    key: string,
    message: ClaimsMessage,
  ): Promise<ClaimResult> => {
    const {organisation, requestId} = message;
    const nonce = unresolvedByKey.get(key)?.nonce ?? random.hex(NONCE_BYTES);
    const outcome = await attemptUntilSettled(key, {
      requestId,
      organisation,
      nonce,
    });
    const kind = outcome?.kind ?? 'refused';
    metrics.count(CLAIMS_METRIC, {outcome: kind});
    if (outcome === undefined) return refuse(message, key);
    unresolvedByKey.delete(key);
    if (outcome.kind === 'ours') recordClaimed(key, message);
    return Right(outcome);
  };

  return (message: ClaimsMessage): Promise<ClaimResult> => {
    const key = claimObjectKey(message.organisation, message.key);
    return runExclusive(key, () => claim(key, message));
  };
}
