/**
 * The service `followed`: follows the configuration and the replicas in the
 * platform's store, and tells the front of each change.
 */
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {follow} from './follow.js';
import './messages.js';
import type {DirectConfig, DirectStore, StoreFault} from './types.js';

/**
 * Each answer is evidence for callers' keys, which is wanted about once a
 * second.
 */
const CONFIG_WAIT_MS = 1_000;
/**
 * A watch whose connection fell silent is given up a little after its wait.
 * Replicas may leave meanwhile; the platform's bound on work for them starts
 * 3 s after such a fault, and by then the new watch has told of them.
 */
const REPLICAS_WAIT_MS = 2_000;

export function createFollowed(store: DirectStore): ServiceSpec<'followed'> {
  return {name: 'followed', start: ctx => startFollowed(store, ctx)};
}

function startFollowed(
  store: DirectStore,
  ctx: ServiceContext<'followed'>,
): void {
  const {clock, random} = ctx;
  const connected = createConnectionLog(ctx);

  const tellConfig = (config: DirectConfig | undefined) => {
    // Without a configuration the last one stays in force.
    if (config !== undefined) ctx.send('direct', {kind: 'config', config});
  };
  // An outage that one watch outlives is seen by the other: either says that
  // replicas' records may have lapsed.
  const onFault = (fault: StoreFault) => {
    connected.failed(fault);
    ctx.send('direct', {kind: 'store-failed'});
  };
  const configs = follow({
    collection: store.configs,
    clock,
    random,
    waitMs: CONFIG_WAIT_MS,
    onList: items => items.forEach(tellConfig),
    onChanges: items => items.forEach(tellConfig),
    onConfirmed: sentAt => {
      connected.regained();
      ctx.send('direct', {kind: 'confirmed', sentAt});
    },
    onFault,
  });
  const replicas = follow({
    collection: store.replicas,
    clock,
    random,
    waitMs: REPLICAS_WAIT_MS,
    onList: items => ctx.send('direct', {kind: 'replicas', replicas: items}),
    onChanges: items =>
      ctx.send('direct', {kind: 'replica-changes', replicas: items}),
    onConfirmed: () => undefined,
    onFault,
  });
  ctx.own(configs.stop);
  ctx.own(replicas.stop);
  void ctx.mailbox.observe(() => configs.confirmNow());
}

/** One line when the store is lost and one when it is back. */
function createConnectionLog({log, clock}: ServiceContext<'followed'>) {
  let lostAt: number | undefined;
  return {
    failed: ({step, message}: StoreFault) => {
      if (lostAt !== undefined) return;
      lostAt = clock.now();
      log(DIRECT_EVENTS.storeLost, {step, message});
    },
    regained: () => {
      if (lostAt === undefined) return;
      const awayMs = Math.round(clock.now() - lostAt);
      lostAt = undefined;
      log(DIRECT_EVENTS.storeBack, {awayMs});
    },
  };
}
