/**
 * What an entry's operators can ask: each handler asks the service that owns
 * the answer. A side passes handlers of its own for what it has.
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

export interface EntryHandlersOptions {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  /** The limits that this process runs under, shown as they are. */
  readonly limits: object;
  readonly drain: () => void;
}

/** Handlers of an entry. */
export function createEntryHandlers(
  ctx: ServiceContext<'operators'>,
  options: EntryHandlersOptions,
): OperatorHandlers {
  let view: MembershipView = {replicas: [], allSides: [], entries: []};
  let configNumber: ConfigNumber = 0;
  followMembership(ctx, taken => {
    view = taken;
  });
  followConfig(ctx, taken => {
    configNumber = taken.number;
    ctx.metrics.gauge('onyxloft_config_number', {}, configNumber);
  });

  const callers = () =>
    ctx.ask('callers', (reply: (status: CallersStatus) => void) => ({
      kind: 'status',
      reply,
    }));
  const placement = () =>
    ctx.ask('placement', (reply: (status: PlacementStatus) => void) => ({
      kind: 'status',
      reply,
    }));

  const status = async () => {
    const front = await orUndefined(callers());
    return {
      node: options.node,
      role: 'entry',
      incarnation: options.incarnation,
      ready: front?.ready ?? false,
      configNumber,
      membership: {
        replicas: countStates(view.replicas),
        entries: countStates(view.entries),
      },
      placement: (await orUndefined(placement())) ?? null,
      openRequests: front?.openRequests ?? 0,
      limits: options.limits,
    };
  };

  const hosts = () => {
    const now = ctx.clock.now();
    const replicas = view.replicas.map(({loadAt, ...replica}) => ({
      ...replica,
      loadAgeMs: now - loadAt,
    }));
    return Promise.resolve({
      replicas,
      entries: view.entries,
      allSides: view.allSides,
    });
  };

  return {
    ready: async () => (await orUndefined(callers()))?.ready ?? false,
    status,
    hosts,
    explain: id => ctx.ask('requests', reply => ({kind: 'explain', id, reply})),
    drain: options.drain,
    config: configHandlers(ctx),
  };
}

function configHandlers(ctx: ServiceContext<'operators'>): ConfigHandlers {
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

/** A service that is not running is shown as absent, not as an error. */
function orUndefined<T>(asked: Promise<T>): Promise<T | undefined> {
  return asked.catch(() => undefined);
}

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
