/**
 * Admits the requests of one organisation at an entry. A request is admitted
 * from the entry's share while that suffices; otherwise the entry first asks
 * the organisation's home for more.
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

/**
 * After a refusal or a failed ask, the next ask waits for the grant's time to
 * live divided by this. An earlier ask would most likely get the same answer,
 * and add load on the home.
 */
const ASK_PAUSE_DIVISOR = 4;
/**
 * After a change of home, each entry reports its use to the new home after a
 * random delay up to this, so that the reports do not arrive all at once.
 */
const REPORT_SPREAD_MS = 100;
/** Longest `retryAfterMs` in a refusal. */
const MAX_RETRY_AFTER_MS = 10_000;

/**
 * Receives the outcome. Left: the organisation is over its limit, with the time
 * after which the caller may try again.
 */
export type AcquireReply = (outcome: Either<OnyxError, void>) => void;

/** The organisation, this entry, and the access to the organisation's home. */
export interface AdmissionOptions {
  /** The organisation whose requests are admitted. */
  readonly id: OrganisationId;
  /** Name of this entry. */
  readonly node: NodeId;
  readonly ctx: ServiceContext<'limits'>;
  /**
   * The organisation's configuration; undefined when it is no longer declared.
   */
  readonly organisation: () => Organisation | undefined;
  /** The entries known at present. */
  readonly entries: () => EntrySet;
  /** Sends a request for a grant to the home. Left: why there is no grant. */
  readonly askHome: (
    home: Home,
    req: GrantReq,
  ) => Promise<Either<string, GrantRes>>;
}

/** Admits the requests of one organisation within what its home granted. */
export interface Admission {
  /**
   * Admits a request of so many tokens or refuses it, at once or after an ask.
   */
  acquire(tokens: number, reply: AcquireReply): void;
  /** Returns the slot of a request that has ended. */
  release(): void;
  /**
   * Renews the grant when that is due. Returns false when the admission holds
   * no grant, has no running request and was not used lately, so that it can be
   * dropped.
   */
  renew(): boolean;
  /** Changes to the present home when the entries have changed. */
  checkHome(): void;
}

/** A request that waits for an ask to the home. */
interface Waiter {
  readonly tokens: number;
  readonly reply: AcquireReply;
}

/** Creates an admission without a grant. The first request asks for one. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {id, ctx, entries} = options;
  const {clock, metrics} = ctx;
  const share = createEntryShare(MIN_TTL_MS);
  let home = entries().homeOf(id);
  let waiters: readonly Waiter[] = [];
  let isAsking = false;
  let isFallbackActive = false;
  /** Earliest time of the next ask that is not a renewal. */
  let nextAskAt = 0;
  /** Time of the next renewal. */
  let renewAt = clock.now() + share.ttlMs() / 2;

  /** Updates the metric of slots in use. */
  const reportUsage = (): void => {
    const labels = {organisation: id};
    metrics.gauge('onyxloft_limit_places_used', labels, share.used());
  };

  /** The error for a request of so many tokens that is refused now. */
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

  /** Refuses these requests, and logs once for all of them. */
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

  /**
   * Admits the waiting requests that the share has room for. The others keep
   * waiting.
   */
  const admitWaiters = (): void => {
    waiters = waiters.filter(({tokens, reply}) => {
      const isAdmitted = share.tryTake(tokens, clock.now()) === 'none';
      if (isAdmitted) reply(Right(undefined));
      return !isAdmitted;
    });
    reportUsage();
  };

  /**
   * Allows a small part of the limit while the home gives no grant, so that
   * requests do not fail altogether.
   */
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

  /** Ends the use of the fallback allowance. */
  const endFallback = (): void => {
    share.setAllowance(undefined, clock.now());
    if (!isFallbackActive) return;
    isFallbackActive = false;
    metrics.gauge('onyxloft_limit_fallback', {organisation: id}, 0);
    const fields = {organisation: id, home: home.address};
    ctx.log(LIMIT_EVENTS.homeBack, fields);
  };

  /** The ask for what the waiting requests and the expected ones need. */
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

  /**
   * Asks the home for what the requests need that wait at this moment. Those
   * that the answer does not cover are refused; requests that came meanwhile
   * are then handled.
   */
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
    // Another ask at once would get the same answer, and add load on the home.
    if (outcome.isLeft() || refused.length > 0) {
      nextAskAt = clock.now() + share.ttlMs() / ASK_PAUSE_DIVISOR;
    }
    refuse(refused);
    if (waiters.length > 0) askOrRefuse();
  };

  /**
   * Asks the home for the waiting requests. Refuses those that the share does
   * not cover when the last ask was too recent.
   */
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
      // The new home has to learn which slots are in use before it can grant
      // most of the limit, so the next renewal is brought forward.
      const reportAt = clock.now() + ctx.random.next() * REPORT_SPREAD_MS;
      renewAt = Math.min(renewAt, reportAt);
    },
  };
}
