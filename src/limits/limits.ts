/**
 * Enforces organisation limits over all entries without a central service. Each
 * organisation has a home: the entry that rendezvous hashing chooses among the
 * live ones. The home gives short grants of slots and tokens to the entries
 * that ask, in proportion to what they want. An entry admits requests from its
 * grant, and asks again when the grant does not suffice and at half of its time
 * to live. A slot lets one request run; messages call slots `places`.
 *
 * Bound. At any time the slots in use are at most `maxRunning`, plus those
 * granted by earlier homes that have not expired or are still in use (at most
 * `maxRunning` for each change of home), plus the allowances of the entries
 * that reach no home: `max(1, floor(maxRunning / (4 * entries)))` each.
 *
 * A home that can't reach an entry continues to count the slots that the entry
 * last reported as in use, until the entry is known to be gone. Entries that
 * the home can't reach and that are not known to be gone may be served by
 * another home, so the home grants only its share of the limit. Two halves of a
 * fleet that are cut off from each other therefore grant the limit between
 * them, not twice.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {followConfig} from '../config/follow_config.js';
import {followMembership} from '../membership/follow_membership.js';
import type {Organisation} from '../types/config.js';
import {OnyxError} from '../types/errors.js';
import type {Address, NodeId, OrganisationId} from '../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {GrantReq, GrantRes} from '../types/peer_messages.js';
import type {EntryPeer, LimitsMessage} from '../types/services.js';
import type {Transport} from '../types/transport.js';
import {createAdmission} from './admission.js';
import type {Admission} from './admission.js';
import {createEntrySet} from './entry_set.js';
import type {EntrySet, Home} from './entry_set.js';
import {MIN_TTL_MS, createHomeLedger} from './home_ledger.js';
import type {HomeLedger} from './home_ledger.js';

/** Timeout of an ask to a home. After it the entry uses its allowance. */
const ASK_TIMEOUT_MS = 300;
/** How often grants are checked for renewal. */
const TICK_MS = 50;

/** This entry, and its access to the others. */
export interface LimitsOptions {
  readonly node: NodeId;
  /** Where this entry listens for peers. */
  readonly address: Address;
  readonly transport: Transport;
}

/** State of the service, created at each start. */
interface State {
  readonly ctx: ServiceContext<'limits'>;
  readonly options: LimitsOptions;
  readonly admissions: Map<OrganisationId, Admission>;
  readonly ledgers: Map<OrganisationId, HomeLedger>;
  organisations: ReadonlyMap<OrganisationId, Organisation>;
  entries: EntrySet;
}

/**
 * The ledger of an organisation whose home is this entry. A new ledger starts
 * with tokens only when the entries have not changed lately, because otherwise
 * a previous home may have granted them already.
 */
function ledgerOf(state: State, id: OrganisationId): HomeLedger {
  const known = state.ledgers.get(id);
  if (known !== undefined) return known;
  const now = state.ctx.clock.now();
  const isSettled = now - state.entries.changedAt >= MIN_TTL_MS;
  const ledger = createHomeLedger({
    invariant: state.ctx.invariant,
    now,
    initialSec: isSettled ? 1 : 0,
  });
  state.ledgers.set(id, ledger);
  return ledger;
}

/**
 * Answers an ask of an entry. The answer has `home` false when this entry is
 * not the home of the organisation.
 */
function answerGrantReq(state: State, req: GrantReq): GrantRes {
  const {entries, organisations} = state;
  const organisation = organisations.get(req.organisation);
  if (organisation === undefined || !entries.homeOf(req.organisation).isHere) {
    return {places: 0, tokens: 0, ttlMs: MIN_TTL_MS, home: false};
  }
  const limits = {
    maxRunning: organisation.maxRunning,
    tokensPerSec: organisation.tokensPerSec,
    reachableShare: entries.reachableShare(),
    isPresent: (entry: NodeId) => entries.isPresent(entry),
  };
  const ledger = ledgerOf(state, req.organisation);
  return ledger.grant(req, limits, state.ctx.clock.now());
}

/** Asks the home, which may be this entry. */
async function askHome(
  state: State,
  home: Home,
  req: GrantReq,
): Promise<Either<string, GrantRes>> {
  const {transport} = state.options;
  const outcome: Either<OnyxError, GrantRes> = home.isHere
    ? Right(answerGrantReq(state, req))
    : await transport.call(home.address, 'grant', req, ASK_TIMEOUT_MS);
  return outcome
    .mapLeft(err => err.message)
    .chain(res =>
      res.home ? Right(res) : Left(`${home.address} is not the home`),
    );
}

/** The admission of an organisation, created on first use. */
function admissionOf(state: State, id: OrganisationId): Admission {
  const known = state.admissions.get(id);
  if (known !== undefined) return known;
  const admission = createAdmission({
    id,
    node: state.options.node,
    ctx: state.ctx,
    organisation: () => state.organisations.get(id),
    entries: () => state.entries,
    askHome: (home, req) => askHome(state, home, req),
  });
  state.admissions.set(id, admission);
  return admission;
}

/** Handles a message to the service. */
function handle(state: State, message: LimitsMessage): void {
  switch (message.kind) {
    case 'acquire': {
      const {organisation, tokens, reply} = message;
      if (state.organisations.has(organisation)) {
        admissionOf(state, organisation).acquire(tokens, reply);
        return;
      }
      const text = `organisation ${organisation} is not in the configuration`;
      const details = {
        code: 'not-found',
        step: 'limit',
        message: text,
      } as const;
      reply(Left(new OnyxError(details)));
      return;
    }
    case 'release':
      state.admissions.get(message.organisation)?.release();
      return;
    case 'grant':
      message.reply(answerGrantReq(state, message.req));
      return;
  }
}

/**
 * Renews grants, and drops admissions and ledgers that are no longer needed.
 */
function tick(state: State): void {
  for (const [id, admission] of state.admissions) {
    if (!admission.renew()) state.admissions.delete(id);
  }
  const now = state.ctx.clock.now();
  const {entries} = state;
  const isPresent = (entry: NodeId): boolean => entries.isPresent(entry);
  for (const [id, ledger] of state.ledgers) {
    if (entries.homeOf(id).isHere || !ledger.isIdle(now, isPresent)) continue;
    state.ledgers.delete(id);
  }
}

/**
 * Creates the service that admits requests within their organisation's limits.
 */
export function createLimitsService(
  options: LimitsOptions,
): ServiceSpec<'limits'> {
  return {
    name: 'limits',
    start: ctx => {
      const state: State = {
        ctx,
        options,
        admissions: new Map(),
        ledgers: new Map(),
        organisations: new Map(),
        entries: createEntrySet(options, [], ctx.clock.now()),
      };
      void ctx.mailbox.observe(message => handle(state, message));
      ctx.own(ctx.clock.every(TICK_MS, () => tick(state)));
      followConfig(ctx, ({declarations}) => {
        state.organisations = new Map(
          declarations.organisations.map(item => [item.id, item]),
        );
      });
      let known: readonly EntryPeer[] | undefined;
      followMembership(ctx, ({entries}) => {
        // Views arrive many times a second, but the entries change seldom.
        if (entries === known) return;
        known = entries;
        const now = ctx.clock.now();
        state.entries = createEntrySet(options, entries, now, state.entries);
        for (const admission of state.admissions.values()) {
          admission.checkHome();
        }
      });
    },
  };
}
