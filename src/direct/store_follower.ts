/**
 * The service `followed`: follows the configuration and the replicas in the
 * platform's store, and tells the front of each change.
 */
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {createCatchUp} from './catch_up.js';
import {
  FIRST_PEER_ANSWER_MS,
  REWRITE_GRACE_MS,
  createConfigProof,
} from './config_proof.js';
import {
  maxPeerEvidenceAgeMs,
  createPeerConfirmation,
} from './peer_confirmation.js';
import {followCollection} from './collection_follower.js';
import {createKnownReplicas} from './known_replicas.js';
import './messages.js';
import {createQuarantineRecords} from './quarantine_records.js';
import {
  createConfirmationTimer,
  createStoreConnection,
} from './store_connection.js';
import {createSettledEra} from './settled_era.js';
import {createStoreEraTracker} from './store_era_tracker.js';
import type {StoreEra} from './store_position.js';
import type {
  DirectConfig,
  DirectReplica,
  DirectStore,
  PeerAnswer,
  StoreFault,
  StoreKnowledge,
} from './types.js';

/**
 * Each answer is evidence for callers' keys, which is wanted about once a
 * second.
 */
const CONFIG_WATCH_MS = 1_000;
/**
 * A watch whose connection fell silent is given up a little after its wait.
 * Replicas may leave meanwhile; the platform's bound on work for them starts
 * 3 s after such a fault, and by then the new watch has told of them.
 */
const REPLICAS_WATCH_MS = 2_000;
/** Of both while another entry vouches for what is known; the store allows 30 s. */
const LONG_WATCH_MS = 20_000;
/**
 * Pause after changes, as a share of the time for which a replica that leaves
 * serves on. The second of two changes is known later by that much. While fifty
 * replicas are replaced within 15 s each change costs every entry a call.
 */
const REPLICAS_CHANGE_PAUSE_SHARE = 0.3;
/**
 * Of the watch of requests that crash replicas, while other entries are heard:
 * they tell of those too, and a connection that fell silent does no harm.
 */
const QUARANTINE_WATCH_MS = 25_000;
/** Between tries while the store fails and no other entry answers. */
const MAX_RETRY_WITHOUT_PEER_MS = 500;
/**
 * The same while another entry answers, of which the first by name tries often:
 * its word is there half a second after the store is back. With all entries
 * trying alone, the store would be met with several times the calls.
 */
const MAX_RETRY_WITH_PEER_MS = 2_000;
/** After the own start, and after the store's return from a copy. */
const QUERY_ANY_PEER_MS = 3_000;

export interface StoreFollowerOptions {
  readonly store: DirectStore;
  /** Evidence older than this makes the entry unready. */
  readonly maxReadyAgeMs: number;
  /** A replica that leaves serves on for so long. */
  readonly leavingMs: number;
  /** The whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
}

export function createStoreFollower(
  options: StoreFollowerOptions,
): ServiceSpec<'followed'> {
  return {name: 'followed', start: ctx => startStoreFollower(options, ctx)};
}

function startStoreFollower(
  {store, maxReadyAgeMs, leavingMs, isBootstrap, wallMs}: StoreFollowerOptions,
  ctx: ServiceContext<'followed'>,
): void {
  const {clock, random} = ctx;
  const changePauseMs = leavingMs * REPLICAS_CHANGE_PAUSE_SHARE;
  const connection = createStoreConnection(clock, ctx.log);
  let newest: DirectConfig | undefined;
  /** That are heard, with this one. */
  let entryCount = 1;

  const eraTracker = createStoreEraTracker({
    log: ctx.log,
    metrics: ctx.metrics,
    onFirstEra: () => settledEra.lookUp(),
    onRestored: () => handleRestore(),
  });
  store.watchEra(eraTracker.observe);
  const hasEra = () => eraTracker.current() !== undefined;
  const startedAt = clock.now();
  const settledEra = createSettledEra({
    store,
    clock,
    random,
    log: ctx.log,
    isBootstrap,
    currentEra: eraTracker.current,
    onSettled: () => configFollower.rereadNow(),
    onUnsettled: () => {
      const until = startedAt + REWRITE_GRACE_MS;
      ctx.send('direct', {kind: 'keys-unconfirmed', until});
      settledEra.settleAfter(until - clock.now());
    },
  });
  const configProof = createConfigProof(
    clock,
    ctx.log,
    hasEra,
    settledEra.isSettled,
  );
  let reportedEra: StoreEra;
  // Which entry knows the newest configuration does not go by names then.
  let queryAnyPeerUntil = clock.now() + QUERY_ANY_PEER_MS;
  const handleRestore = () => {
    queryAnyPeerUntil = clock.now() + QUERY_ANY_PEER_MS;
    configProof.storeRestored();
    settledEra.settleAfter(REWRITE_GRACE_MS);
    quarantineRecords.storeRestored();
    sendRestored();
    ctx.send('sharing', {kind: 'store-restored'});
    // After the answer that told of it has been taken.
    clock.after(0, () => observeEra(eraTracker.current()));
  };
  const sendRestored = () => ctx.send('direct', {kind: 'store-restored'});
  const resendState = () => {
    if (newest !== undefined) {
      ctx.send('direct', {kind: 'config', config: newest});
    }
    ctx.send('direct', {kind: 'replicas', replicas: knownReplicas.all()});
    quarantineRecords.reportAll();
    configFollower.rereadNow();
  };
  const observeEra = (era: StoreEra) => {
    configFollower.observeEra(era);
    replicaFollower.observeEra(era);
    quarantineRecords.observeEra(era);
  };
  // Where the era is told, any answer shows that it has risen.
  const onRestored = () => {
    if (eraTracker.current() === undefined) handleRestore();
  };

  const applyConfig = (config: DirectConfig | undefined) => {
    // Without a configuration the last one stays in force, as it does when an
    // older one is read.
    if (config === undefined) return;
    if (newest !== undefined && config.version <= newest.version) return;
    newest = config;
    ctx.send('direct', {kind: 'config', config});
  };
  const applyReplicas = (items: ReadonlyMap<string, DirectReplica>) => {
    knownReplicas.replaceAll(items);
    ctx.send('direct', {kind: 'replicas', replicas: items});
  };
  const applyReplicaChanges = (
    items: ReadonlyMap<string, DirectReplica | undefined>,
  ) => {
    knownReplicas.applyChanges(items);
    ctx.send('direct', {kind: 'replica-changes', replicas: items});
  };
  const sendConfirmed = (asOf: number, askedAt: number) =>
    ctx.send('direct', {kind: 'confirmed', asOf, askedAt});
  // An outage that one watch outlives is seen by the other: either says that
  // replicas' records may have lapsed.
  const onFault = (fault: StoreFault) => {
    connection.callFailed(fault);
    ctx.send('direct', {kind: 'store-failed'});
  };
  const knownReplicas = createKnownReplicas();
  const maxRetryMs = () =>
    confirmation.isPeerAnswering()
      ? MAX_RETRY_WITH_PEER_MS
      : MAX_RETRY_WITHOUT_PEER_MS;
  const configTimer = createConfirmationTimer(clock, CONFIG_WATCH_MS);
  const replicasTimer = createConfirmationTimer(clock, REPLICAS_WATCH_MS);
  const configFollower = followCollection({
    collection: store.configs,
    clock,
    random,
    waitMs: () => (confirmation.isActive() ? LONG_WATCH_MS : CONFIG_WATCH_MS),
    maxRetryMs,
    changePauseMs: 0,
    onList: items => {
      const [config] = items.values();
      configProof.versionListed(config?.version);
      items.forEach(applyConfig);
    },
    onChanges: items => {
      for (const config of items.values()) {
        if (config !== undefined) configProof.versionWritten(config.version);
        applyConfig(config);
      }
    },
    onConfirmed: sentAt => {
      connection.callSucceeded();
      configTimer.markConfirmed();
      if (configProof.provesNewest(newest?.version))
        sendConfirmed(sentAt, sentAt);
    },
    onRestored,
    onFault,
  });
  const replicaFollower = followCollection({
    collection: store.replicas,
    clock,
    random,
    waitMs: () => (confirmation.isActive() ? LONG_WATCH_MS : REPLICAS_WATCH_MS),
    maxRetryMs,
    changePauseMs,
    onList: (items, isPartial) =>
      isPartial ? applyReplicaChanges(items) : applyReplicas(items),
    onChanges: applyReplicaChanges,
    onConfirmed: replicasTimer.markConfirmed,
    onRestored,
    onFault,
  });
  const quarantineRecords = createQuarantineRecords({
    store,
    clock,
    wallMs,
    random,
    log: ctx.log,
    waitMs: () => (entryCount > 1 ? QUARANTINE_WATCH_MS : REPLICAS_WATCH_MS),
    maxRetryMs,
    onReports: reports => ctx.send('direct', {kind: 'crash-reports', reports}),
    onReleased: digest =>
      ctx.send('direct', {kind: 'quarantine-released', digest}),
    onFault: connection.callFailed,
  });
  const logFetched = (
    what: string,
    {node, configVersion: version}: PeerAnswer,
  ) => ctx.log(DIRECT_EVENTS.knowledgeTaken, {what, entry: node, version});
  const catchUp = createCatchUp({
    ownVersion: () => newest?.version,
    isStoreLost: connection.isLost,
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
      logFetched('configuration', from);
      applyConfig(config);
      confirmation.queryNow();
    },
    onReplicas: (items, from) => {
      logFetched('replicas', from);
      applyReplicas(items);
    },
    onFetchFailed: cause => {
      const message = String(cause);
      ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'ask for it', message});
    },
  });
  const queryPeer = () =>
    ctx.ask('sharing', (reply: (answer: PeerAnswer | undefined) => void) => ({
      kind: 'query-peer',
      anyPeer: connection.isLost() || clock.now() < queryAnyPeerUntil,
      reply,
    }));
  const confirmation = createPeerConfirmation({
    clock,
    maxAgeMs: maxPeerEvidenceAgeMs(maxReadyAgeMs),
    // The service that talks with entries may end with the question.
    queryPeer: () =>
      queryPeer().catch(err => {
        const message = String(err);
        ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'ask an entry', message});
        return undefined;
      }),
    ownKnowledge: () => ({
      era: eraTracker.current(),
      configVersion: newest?.version,
      replicasDigest: knownReplicas.digest(),
    }),
    onConfirmed: sendConfirmed,
    onDifferentConfig: answer => {
      configProof.peerHasVersion(
        answer.configVersion ?? Number.NEGATIVE_INFINITY,
      );
      if (!catchUp.handleDifferentConfig(answer)) configFollower.rereadNow();
    },
    onSameConfig: catchUp.handleSameConfig,
    onDifferentReplicas: answer => {
      replicaFollower.rereadNow();
      catchUp.handleDifferentReplicas(answer);
    },
    onNewerEra: ({era}) => {
      if (reportedEra === era) return;
      reportedEra = era;
      // Replicas may come from there before the own calls show the return.
      sendRestored();
      observeEra(era);
    },
    onUnconfirmed: () => {
      if (configTimer.isOverdue()) configFollower.rereadNow();
      if (replicasTimer.isOverdue()) replicaFollower.rereadNow();
    },
    onChange: (isActive, answer) => {
      const {coverBegan, coverEnded} = DIRECT_EVENTS;
      ctx.metrics.gauge('onyxloft_direct_covered', {}, isActive ? 1 : 0);
      ctx.log(isActive ? coverBegan : coverEnded, {
        entry: answer?.node,
        evidenceAgeMs: answer?.evidenceAgeMs,
        version: answer?.configVersion,
      });
    },
  });
  const replyKnowledge = async (reply: (knowledge: StoreKnowledge) => void) => {
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
      era: eraTracker.current(),
      evidenceAgeMs,
      configVersion: newest?.version,
      replicasDigest: knownReplicas.digest(),
    });
  };
  // What the store showed before that time proved nothing then.
  const rereadConfig = () => {
    if (hasEra()) configFollower.rereadNow();
  };
  ctx.own(clock.after(FIRST_PEER_ANSWER_MS, rereadConfig));
  ctx.own(clock.after(REWRITE_GRACE_MS, rereadConfig));
  ctx.own(settledEra.stop);
  ctx.own(confirmation.stop);
  ctx.own(configFollower.stop);
  ctx.own(replicaFollower.stop);
  ctx.own(quarantineRecords.stop);
  void ctx.mailbox.observe(message => {
    switch (message.kind) {
      case 'knowledge':
        return void replyKnowledge(message.reply);
      case 'state':
        return message.reply({config: newest, replicas: knownReplicas.all()});
      case 'entries':
        entryCount = message.count;
        return;
      case 'quarantined':
        return quarantineRecords.ensureStored(message.report, message.isOwn);
      case 'quarantine-cleared':
        return quarantineRecords.clear(message.digest, message.isOwn);
      case 'claim-trial':
        return void quarantineRecords
          .claimTrial(message.digest, message.trial)
          .then(message.reply);
      case 'confirm':
        // Asked for each request, a store that proves nothing would be asked
        // in vain; its watch tells at once when it does.
        if (configProof.provesNewest(newest?.version))
          configFollower.rereadNow();
        return confirmation.queryNow();
      case 'resend-state':
        return resendState();
    }
  });
}
