/**
 * Admission of one organisation's requests at an entry: from the entry's share
 * while that lasts, after an ask to the home when it does not.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Organisation} from '../types/config.js';
import {OnyxError} from '../types/errors.js';
import type {NodeId, OrganisationId} from '../types/ids.js';
import type {ServiceContext} from '../types/kernel.js';
import type {GrantReq, GrantRes} from '../types/peer_messages.js';
import {LIMIT_EVENTS} from '../utils/events.js';
import type {EntrySet, Home} from './entry_set.js';
import {MIN_TTL_MS} from './home_ledger.js';
import {allowanceOf, createEntryShare} from './entry_share.js';

/** After a refusal or a lost ask the next waits this part of a lifetime. */
const ASK_PAUSE_DIVISOR = 4;
/** On a change of home, entries report within this, not all at once. */
const REPORT_SPREAD_MS = 100;
const MAX_RETRY_AFTER_MS = 10_000;

/** Left: over the limit, with a time to come back. */
export type AcquireReply = (outcome: Either<OnyxError, void>) => void;

/** One organisation at this entry, and the way to its home. */
export interface AdmissionOptions {
  readonly id: OrganisationId;
  readonly node: NodeId;
  readonly ctx: ServiceContext<'limits'>;
  readonly organisation: () => Organisation | undefined;
  readonly entries: () => EntrySet;
  /** Left: why there is no grant. */
  readonly askHome: (
    home: Home,
    req: GrantReq,
  ) => Promise<Either<string, GrantRes>>;
}

/** Admits one organisation's requests under what its home granted. */
export interface Admission {
  acquire(tokens: number, reply: AcquireReply): void;
  release(): void;
  /** Renews when it is time; false when there is nothing left to keep. */
  renew(): boolean;
  /** Looks whether the home is another one now. */
  checkHome(): void;
}

interface Waiter {
  readonly tokens: number;
  readonly reply: AcquireReply;
}

/** Starts without a grant: the first request asks for one. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {id, ctx, entries} = options;
  const {clock, metrics} = ctx;
  const share = createEntryShare(MIN_TTL_MS);
  let home = entries().homeOf(id);
  let waiters: readonly Waiter[] = [];
  let isAsking = false;
  let isFallbackActive = false;
  let nextAskAt = 0;
  let renewAt = clock.now() + share.ttlMs() / 2;

  const reportUsage = (): void => {
    const labels = {organisation: id};
    metrics.gauge('onyxloft_limit_places_used', labels, share.used());
  };

  const refusal = (tokens: number): OnyxError => {
    const lack = share.lackFor(tokens, clock.now());
    const pauseMs = share.ttlMs() / ASK_PAUSE_DIVISOR;
    const waitMs = Math.max(nextAskAt - clock.now(), pauseMs);
    metrics.count('onyxloft_limit_refusals_total', {organisation: id, lack});
    return new OnyxError({
      code: 'limit-reached',
      step: 'limit',
      peer: home.address,
      message:
        `organisation ${id} has no ${lack} left of its limit; ` +
        'come back later, or have the limit raised',
      retryAfterMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, waitMs)),
    });
  };

  const refuse = (refused: readonly Waiter[]): void => {
    if (refused.length === 0) return;
    ctx.log(LIMIT_EVENTS.reached, {
      organisation: id,
      refused: refused.length,
      used: share.used(),
      home: home.address,
      fallenBack: isFallbackActive,
    });
    for (const {tokens, reply} of refused) reply(Left(refusal(tokens)));
  };

  /** Admits those waiting as far as the share goes; the rest stays. */
  const admitWaiters = (): void => {
    waiters = waiters.filter(({tokens, reply}) => {
      const isAdmitted = share.tryTake(tokens, clock.now()) === 'none';
      if (isAdmitted) reply(Right(undefined));
      return !isAdmitted;
    });
    reportUsage();
  };

  const startFallback = (cause: string): void => {
    const organisation = options.organisation();
    if (organisation === undefined) return;
    const {maxRunning, tokensPerSec} = organisation;
    const allowance = allowanceOf(maxRunning, tokensPerSec, entries().size());
    share.setAllowance(allowance, clock.now());
    if (isFallbackActive) return;
    isFallbackActive = true;
    metrics.gauge('onyxloft_limit_fallback', {organisation: id}, 1);
    ctx.log(LIMIT_EVENTS.homeUnreachable, {
      organisation: id,
      home: home.address,
      cause,
      places: allowance.slots,
      tokensPerSec: allowance.tokensPerSec,
    });
  };

  const endFallback = (): void => {
    share.setAllowance(undefined, clock.now());
    if (!isFallbackActive) return;
    isFallbackActive = false;
    metrics.gauge('onyxloft_limit_fallback', {organisation: id}, 0);
    const fields = {organisation: id, home: home.address};
    ctx.log(LIMIT_EVENTS.homeBack, fields);
  };

  const createGrantReq = (): GrantReq => {
    const tokens = waiters.reduce((sum, waiter) => sum + waiter.tokens, 0);
    const demand = share.demand(waiters.length, tokens, clock.now());
    return {
      organisation: id,
      entry: options.node,
      wantPlaces: demand.slots,
      wantTokens: demand.tokens,
      usedPlaces: share.used(),
    };
  };

  /** Asks the home for what those waiting at this moment need. */
  const requestGrant = async (): Promise<void> => {
    const askedHome = home;
    const askedAt = clock.now();
    const included = new Set(waiters);
    isAsking = true;
    metrics.count('onyxloft_limit_asks_total', {organisation: id});
    const outcome = await options.askHome(askedHome, createGrantReq());
    isAsking = false;
    outcome.caseOf({
      Left: startFallback,
      Right: grant => {
        share.addGrant(grant, askedAt);
        endFallback();
      },
    });
    if (askedHome === home) renewAt = clock.now() + share.ttlMs() / 2;
    admitWaiters();
    const refused = waiters.filter(waiter => included.has(waiter));
    waiters = waiters.filter(waiter => !included.has(waiter));
    // Asking again at once would get the same answer, at the home's cost.
    if (outcome.isLeft() || refused.length > 0) {
      nextAskAt = clock.now() + share.ttlMs() / ASK_PAUSE_DIVISOR;
    }
    refuse(refused);
    if (waiters.length > 0) askOrRefuse();
  };

  /** Gets more for those waiting, or refuses them when it asked just now. */
  const askOrRefuse = (): void => {
    if (isAsking) return;
    if (clock.now() >= nextAskAt) {
      void requestGrant().catch(ctx.fail);
      return;
    }
    admitWaiters();
    const refused = waiters;
    waiters = [];
    refuse(refused);
  };

  return {
    acquire: (tokens, reply) => {
      waiters = [...waiters, {tokens, reply}];
      if (waiters.length === 1) admitWaiters();
      if (waiters.length > 0) askOrRefuse();
    },
    release: () => {
      share.release();
      reportUsage();
    },
    renew: () => {
      const now = clock.now();
      if (isAsking || now < renewAt) return true;
      renewAt = now + share.ttlMs() / 2;
      if (!share.endRenewalPeriod(now)) {
        endFallback();
        return false;
      }
      void requestGrant().catch(ctx.fail);
      return true;
    },
    checkHome: () => {
      const next = entries().homeOf(id);
      if (next.address === home.address) return;
      const fields = {organisation: id, from: home.address, to: next.address};
      ctx.log(LIMIT_EVENTS.homeChanged, fields);
      home = next;
      nextAskAt = 0;
      // The new home has to learn what is in use before it grants much.
      const reportAt = clock.now() + ctx.random.next() * REPORT_SPREAD_MS;
      renewAt = Math.min(renewAt, reportAt);
    },
  };
}
