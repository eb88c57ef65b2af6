/**
 * The service `followed`: follows the configuration and the replicas in the
 * platform's store, and tells the front of each change.
 */
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {createCatchUp} from './catch_up.js';
import {
  FIRST_WORD_MS,
  WRITTEN_AGAIN_MS,
  createConfigProof,
} from './config_proof.js';
import {coverAgeMs, createCover} from './peer_confirmation.js';
import {follow} from './collection_follower.js';
import {createKnownReplicas} from './known_replicas.js';
import './messages.js';
import {createQuarantineRecords} from './quarantine_records.js';
import {
  createConfirmations,
  createStoreConnection,
} from './store_connection.js';
import {createSettledEra} from './settled_era.js';
import {createStoreEras} from './store_era_tracker.js';
import type {StoreEra} from './store_position.js';
import type {
  DirectConfig,
  DirectReplica,
  DirectStore,
  EntryAnswer,
  StoreFault,
  StoreKnowledge,
} from './types.js';

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
/** Of both while another entry vouches for what is known; the store allows 30 s. */
const COVERED_WAIT_MS = 20_000;
/**
 * Pause after changes, as a share of the time for which a replica that leaves
 * serves on. The second of two changes is known later by that much. While fifty
 * replicas are replaced within 15 s each change costs every entry a call.
 */
const REPLICAS_SETTLE_SHARE = 0.3;
/**
 * Of the watch of requests that crash replicas, while other entries are heard:
 * they tell of those too, and a connection that fell silent does no harm.
 */
const QUARANTINE_WAIT_MS = 25_000;
/** Between tries while the store fails and no other entry answers. */
const RETRY_ALONE_MS = 500;
/**
 * The same while another entry answers, of which the first by name tries often:
 * its word is there half a second after the store is back. With all entries
 * trying alone, the store would be met with several times the calls.
 */
const RETRY_LED_MS = 2_000;
/** After the own start, and after the store's return from a copy. */
const ASK_ANYONE_MS = 3_000;

export interface FollowedOptions {
  readonly store: DirectStore;
  /** Evidence older than this makes the entry unready. */
  readonly readyMs: number;
  /** A replica that leaves serves on for so long. */
  readonly leavingMs: number;
  /** The whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
}

export function createFollowed(
  options: FollowedOptions,
): ServiceSpec<'followed'> {
  return {name: 'followed', start: ctx => startFollowed(options, ctx)};
}

function startFollowed(
  {store, readyMs, leavingMs, isBootstrap, wallMs}: FollowedOptions,
  ctx: ServiceContext<'followed'>,
): void {
  const {clock, random} = ctx;
  const settleMs = leavingMs * REPLICAS_SETTLE_SHARE;
  const connected = createStoreConnection(clock, ctx.log);
  let newest: DirectConfig | undefined;
  /** That are heard, with this one. */
  let entries = 1;

  const eras = createStoreEras({
    log: ctx.log,
    metrics: ctx.metrics,
    onFirst: () => settledEra.lookUp(),
    onRisen: () => restored(),
  });
  store.watchEra(eras.note);
  const tellsEra = () => eras.current() !== undefined;
  const startedAt = clock.now();
  const settledEra = createSettledEra({
    store,
    clock,
    random,
    log: ctx.log,
    isBootstrap,
    currentEra: eras.current,
    onSettled: () => configs.confirmNow(),
    onUnsettled: () => {
      const until = startedAt + WRITTEN_AGAIN_MS;
      ctx.send('direct', {kind: 'keys-in-doubt', until});
      settledEra.settleAfter(until - clock.now());
    },
  });
  const proof = createConfigProof(
    clock,
    ctx.log,
    tellsEra,
    settledEra.isSettled,
  );
  let heardEra: StoreEra;
  // Which entry knows the newest configuration does not go by names then.
  let anyoneUntil = clock.now() + ASK_ANYONE_MS;
  const restored = () => {
    anyoneUntil = clock.now() + ASK_ANYONE_MS;
    proof.restored();
    settledEra.settleAfter(WRITTEN_AGAIN_MS);
    quarantine.restored();
    tellRestored();
    ctx.send('sharing', {kind: 'store-restored'});
    // After the answer that told of it has been taken.
    clock.after(0, () => rereadFor(eras.current()));
  };
  const tellRestored = () => ctx.send('direct', {kind: 'store-restored'});
  const tellAgain = () => {
    if (newest !== undefined) {
      ctx.send('direct', {kind: 'config', config: newest});
    }
    ctx.send('direct', {kind: 'replicas', replicas: known.all()});
    quarantine.tellAgain();
    configs.confirmNow();
  };
  const rereadFor = (era: StoreEra) => {
    configs.noteEra(era);
    replicas.noteEra(era);
    quarantine.noteEra(era);
  };
  // Where the era is told, any answer shows that it has risen.
  const onRestored = () => {
    if (eras.current() === undefined) restored();
  };

  const tellConfig = (config: DirectConfig | undefined) => {
    // Without a configuration the last one stays in force, as it does when an
    // older one is read.
    if (config === undefined) return;
    if (newest !== undefined && config.version <= newest.version) return;
    newest = config;
    ctx.send('direct', {kind: 'config', config});
  };
  const tellReplicas = (items: ReadonlyMap<string, DirectReplica>) => {
    known.setAll(items);
    ctx.send('direct', {kind: 'replicas', replicas: items});
  };
  const tellReplicaChanges = (
    items: ReadonlyMap<string, DirectReplica | undefined>,
  ) => {
    known.change(items);
    ctx.send('direct', {kind: 'replica-changes', replicas: items});
  };
  const tellConfirmed = (asOf: number, askedAt: number) =>
    ctx.send('direct', {kind: 'confirmed', asOf, askedAt});
  // An outage that one watch outlives is seen by the other: either says that
  // replicas' records may have lapsed.
  const onFault = (fault: StoreFault) => {
    connected.failed(fault);
    ctx.send('direct', {kind: 'store-failed'});
  };
  const known = createKnownReplicas();
  const retryMostMs = () =>
    cover.isAnswered() ? RETRY_LED_MS : RETRY_ALONE_MS;
  const configWatch = createConfirmations(clock, CONFIG_WAIT_MS);
  const replicasWatch = createConfirmations(clock, REPLICAS_WAIT_MS);
  const configs = follow({
    collection: store.configs,
    clock,
    random,
    waitMs: () => (cover.isCovered() ? COVERED_WAIT_MS : CONFIG_WAIT_MS),
    retryMostMs,
    settleMs: 0,
    onList: items => {
      const [config] = items.values();
      proof.listed(config?.version);
      items.forEach(tellConfig);
    },
    onChanges: items => {
      for (const config of items.values()) {
        if (config !== undefined) proof.written(config.version);
        tellConfig(config);
      }
    },
    onConfirmed: sentAt => {
      connected.regained();
      configWatch.confirmed();
      if (proof.holds(newest?.version)) tellConfirmed(sentAt, sentAt);
    },
    onRestored,
    onFault,
  });
  const replicas = follow({
    collection: store.replicas,
    clock,
    random,
    waitMs: () => (cover.isCovered() ? COVERED_WAIT_MS : REPLICAS_WAIT_MS),
    retryMostMs,
    settleMs,
    onList: (items, isPartial) =>
      isPartial ? tellReplicaChanges(items) : tellReplicas(items),
    onChanges: tellReplicaChanges,
    onConfirmed: replicasWatch.confirmed,
    onRestored,
    onFault,
  });
  const quarantine = createQuarantineRecords({
    store,
    clock,
    wallMs,
    random,
    log: ctx.log,
    waitMs: () => (entries > 1 ? QUARANTINE_WAIT_MS : REPLICAS_WAIT_MS),
    retryMostMs,
    onReports: reports => ctx.send('direct', {kind: 'crash-reports', reports}),
    onReleased: digest => ctx.send('direct', {kind: 'crash-released', digest}),
    onFault: connected.failed,
  });
  const logTaken = (what: string, {by, configVersion: version}: EntryAnswer) =>
    ctx.log(DIRECT_EVENTS.knowledgeTaken, {what, entry: by, version});
  const catchUp = createCatchUp({
    ownVersion: () => newest?.version,
    isStoreLost: connected.isLost,
    fetchConfig: from =>
      ctx.ask(
        'handover',
        (reply: (config: DirectConfig | undefined) => void) => ({
          kind: 'fetch-config',
          from,
          reply,
        }),
      ),
    fetchReplicas: from =>
      ctx.ask(
        'handover',
        (
          reply: (
            replicas: ReadonlyMap<string, DirectReplica> | undefined,
          ) => void,
        ) => ({kind: 'fetch-replicas', from, reply}),
      ),
    onConfig: (config, from) => {
      logTaken('configuration', from);
      tellConfig(config);
      cover.askNow();
    },
    onReplicas: (items, from) => {
      logTaken('replicas', from);
      tellReplicas(items);
    },
    onFailed: cause => {
      const message = String(cause);
      ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'ask for it', message});
    },
  });
  const askEntry = () =>
    ctx.ask('sharing', (reply: (answer: EntryAnswer | undefined) => void) => ({
      kind: 'ask-entry',
      anyone: connected.isLost() || clock.now() < anyoneUntil,
      reply,
    }));
  const cover = createCover({
    clock,
    maxAgeMs: coverAgeMs(readyMs),
    // The service that talks with entries may end with the question.
    ask: () =>
      askEntry().catch(err => {
        const message = String(err);
        ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'ask an entry', message});
        return undefined;
      }),
    own: () => ({
      era: eras.current(),
      configVersion: newest?.version,
      replicasDigest: known.digest(),
    }),
    onConfirmed: tellConfirmed,
    onOtherConfig: answer => {
      proof.heard(answer.configVersion ?? Number.NEGATIVE_INFINITY);
      if (!catchUp.otherConfig(answer)) configs.confirmNow();
    },
    onSameConfig: catchUp.sameConfig,
    onOtherReplicas: answer => {
      replicas.confirmNow();
      catchUp.otherReplicas(answer);
    },
    onNewerEra: ({era}) => {
      if (heardEra === era) return;
      heardEra = era;
      // Replicas may come from there before the own calls show the return.
      tellRestored();
      rereadFor(era);
    },
    onUncovered: () => {
      if (configWatch.isOverdue()) configs.confirmNow();
      if (replicasWatch.isOverdue()) replicas.confirmNow();
    },
    onChange: (isCovered, answer) => {
      const {coverBegan, coverEnded} = DIRECT_EVENTS;
      ctx.metrics.gauge('onyxloft_direct_covered', {}, isCovered ? 1 : 0);
      ctx.log(isCovered ? coverBegan : coverEnded, {
        entry: answer?.by,
        evidenceAgeMs: answer?.evidenceAgeMs,
        version: answer?.configVersion,
      });
    },
  });
  const tell = async (reply: (knowledge: StoreKnowledge) => void) => {
    const ageMs = await ctx.ask(
      'direct',
      (answer: (ageMs: number) => void) => ({
        kind: 'evidence-age',
        reply: answer,
      }),
    );
    // No number of JSON stands for an infinite age.
    const evidenceAgeMs = Number.isFinite(ageMs) ? ageMs : undefined;
    reply({
      era: eras.current(),
      evidenceAgeMs,
      configVersion: newest?.version,
      replicasDigest: known.digest(),
    });
  };
  // What the store showed before that time proved nothing then.
  const confirmTold = () => {
    if (tellsEra()) configs.confirmNow();
  };
  ctx.own(clock.after(FIRST_WORD_MS, confirmTold));
  ctx.own(clock.after(WRITTEN_AGAIN_MS, confirmTold));
  ctx.own(settledEra.stop);
  ctx.own(cover.stop);
  ctx.own(configs.stop);
  ctx.own(replicas.stop);
  ctx.own(quarantine.stop);
  void ctx.mailbox.observe(message => {
    switch (message.kind) {
      case 'knowledge':
        return void tell(message.reply);
      case 'state':
        return message.reply({config: newest, replicas: known.all()});
      case 'entries':
        entries = message.count;
        return;
      case 'quarantined':
        return quarantine.keep(message.report, message.isOwn);
      case 'quarantine-cleared':
        return quarantine.clear(message.digest, message.isOwn);
      case 'claim-trial':
        return void quarantine
          .claimTrial(message.digest, message.trial)
          .then(message.reply);
      case 'confirm':
        // Asked for each request, a store that proves nothing would be asked
        // in vain; its watch tells at once when it does.
        if (proof.holds(newest?.version)) configs.confirmNow();
        return cover.askNow();
      case 'tell-again':
        return tellAgain();
    }
  });
}
