/**
 * Handlers of the operators' HTTP API in an entry; processes with a side have
 * other handlers. Most handlers ask the service that holds the information.
 * `hosts` and a part of `status` use the last membership view and configuration
 * number that this module received. `drain` calls a function of the process.
 */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {NumberedDeclarations} from '../../types/config.js';
import {OnyxError} from '../../types/errors.js';
import type {ConfigNumber, Incarnation, NodeId} from '../../types/ids.js';
import type {ServiceContext} from '../../types/kernel.js';
import type {ConfigHandlers, OperatorHandlers} from '../../types/operators.js';
import type {
  ConfigAccepted,
  ConfigHistoryLine,
  ConfigRejection,
  MembershipView,
  PlacementStatus,
} from '../../types/services.js';
import {followConfig} from '../../config/follow_config.js';
import {followMembership} from '../../membership/follow_membership.js';
import type {CallersStatus} from './http_callers.js';

/** Properties of the process, and its drain. */
export interface EntryHandlersOptions {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  /** The limits in the settings of this process; `status` shows them unchanged. */
  readonly limits: object;
  /** Starts the drain of the process. */
  readonly drain: () => void;
}

/** Creates the handlers, and follows the membership and the configuration. */
export function createEntryHandlers(
  ctx: ServiceContext<'operators'>,
  options: EntryHandlersOptions,
): OperatorHandlers {
  // `allSides` has the addresses of all sides of the pools. `replicas` has the
  // sides that this entry follows, with their state. `entries` has the other
  // entries, with their state.
  let membership: MembershipView = {replicas: [], allSides: [], entries: []};
  let configNumber: ConfigNumber = 0;
  followMembership(ctx, view => {
    membership = view;
  });
  followConfig(ctx, config => {
    configNumber = config.number;
    ctx.metrics.gauge('onyxloft_config_number', {}, configNumber);
  });

  const askCallers = () =>
    ctx.ask('callers', (reply: (status: CallersStatus) => void) => ({
      kind: 'status',
      reply,
    }));
  const askPlacement = () =>
    ctx.ask('placement', (reply: (status: PlacementStatus) => void) => ({
      kind: 'status',
      reply,
    }));

  const status = async () => {
    const callers = await orUndefined(askCallers());
    return {
      node: options.node,
      role: 'entry',
      incarnation: options.incarnation,
      ready: callers?.ready ?? false,
      configNumber,
      membership: {
        replicas: countStates(membership.replicas),
        entries: countStates(membership.entries),
      },
      placement: (await orUndefined(askPlacement())) ?? null,
      openRequests: callers?.openRequests ?? 0,
      limits: options.limits,
    };
  };

  /**
   * Returns all known sides and entries. The time of a side's load report is on
   * this process's clock, which means nothing outside it, so its age is shown
   * instead.
   */
  const hosts = () => {
    const now = ctx.clock.now();
    const replicas = membership.replicas.map(({loadAt, ...replica}) => ({
      ...replica,
      loadAgeMs: now - loadAt,
    }));
    return Promise.resolve({
      replicas,
      entries: membership.entries,
      allSides: membership.allSides,
    });
  };

  return {
    ready: async () => (await orUndefined(askCallers()))?.ready ?? false,
    status,
    hosts,
    // Rejects if the service does not reply.
    explain: id => ctx.ask('requests', reply => ({kind: 'explain', id, reply})),
    drain: options.drain,
    config: createConfigHandlers(ctx),
  };
}

/**
 * Creates the handlers of the configuration. `show` and `history` resolve to a
 * Left if the service `config` does not reply. `apply` rejects with that error,
 * because its Left is a `ConfigRejection`, which the service alone can create.
 */
function createConfigHandlers(
  ctx: ServiceContext<'operators'>,
): ConfigHandlers {
  return {
    show: number =>
      ctx
        .ask(
          'config',
          (
            reply: (shown: Either<OnyxError, NumberedDeclarations>) => void,
          ) => ({
            kind: 'show',
            number,
            reply,
          }),
        )
        .catch((err: OnyxError) => Left(err)),
    history: limit =>
      ctx
        .ask(
          'config',
          (
            reply: (
              lines: Either<OnyxError, readonly ConfigHistoryLine[]>,
            ) => void,
          ) => ({kind: 'history', limit, reply}),
        )
        .catch((err: OnyxError) => Left(err)),
    apply: patch =>
      ctx.ask(
        'config',
        (
          reply: (outcome: Either<ConfigRejection, ConfigAccepted>) => void,
        ) => ({kind: 'apply', patch, reply}),
      ),
  };
}

/**
 * Resolves to undefined when the service does not reply, for example because it
 * is not running. If `placement` does not reply, the status shows no placement
 * (null). If `callers` does not reply, the status shows that the entry is not
 * ready and has no open requests, and `ready` resolves to false.
 */
function orUndefined<T>(reply: Promise<T>): Promise<T | undefined> {
  return reply.catch(() => undefined);
}

/** Counts the peers in each state; the four usual states are always present. */
function countStates(
  peers: ReadonlyArray<{readonly state: string}>,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {
    live: 0,
    suspect: 0,
    leaving: 0,
    gone: 0,
  };
  for (const {state} of peers) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}
