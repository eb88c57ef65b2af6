/**
 * The service `followed`, which follows the configuration, the replicas, the
 * quarantine records and the evacuations of failure domains in the platform's
 * store and sends each change to the front. While a peer (another entry)
 * confirms that the configuration is the newest, it calls the store less often.
 */
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {runAll} from '../utils/run_each.js';
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
import type {EvidenceOrigin} from './evidence.js';
import {followCollection} from './collection_follower.js';
import {
  NO_EVACUATIONS,
  followEvacuations,
} from './evacuations/evacuation_follower.js';
import {createPeerRequests} from './followed/peer_requests.js';
import {repeatResend} from './followed/repeat_resend.js';
import {createKnowledgeReports} from './followed/knowledge_reports.js';
import {
  CONFIG_WATCH_MS,
  LONG_WATCH_MS,
  MAX_RETRY_WITHOUT_PEER_MS,
  MAX_RETRY_WITH_PEER_MS,
  QUARANTINE_WATCH_MS,
  REPLICAS_CHANGE_PAUSE_SHARE,
  REPLICAS_WATCH_MS,
} from './followed/watch_times.js';
import {OWN_CALL, createVersionNews} from './freshness/version_news.js';
import {createKnownReplicas} from './known_replicas.js';
import './messages.js';
import {createQuarantineRecords} from './crashes/quarantine_records.js';
import {
  createConfirmationTimer,
  createStoreConnection,
} from './store_connection.js';
import {createStepReport} from './boundary/contained_errors.js';
import {createSettledEra} from './settled_era.js';
import {createStoreEraTracker} from './store_era_tracker.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';
import type {StoreFault} from './followed/collection.js';
import type {StoreFollowerOptions} from './followed/store_follower_options.js';
import {createToldEra} from './followed/told_era.js';
import type {DirectConfig, DirectReplica, PeerAnswer} from './types.js';

/**
 * For this long after its own start, and after a restore of the store, the
 * entry may query any peer, in milliseconds.
 */
const QUERY_ANY_PEER_MS = 3_000;

export function createStoreFollower(
  options: StoreFollowerOptions,
): ServiceSpec<'followed'> {
  return {
    name: 'followed',
    start: ctx => startStoreFollower(options, ctx),
    messageFailed: repeatResend,
  };
}

function startStoreFollower(
  options: StoreFollowerOptions,
  ctx: ServiceContext<'followed'>,
): void {
  const {node, store, maxReadyAgeMs, leavingMs, evacuateMs} = options;
  const {clock, random} = ctx;
  const changePauseMs = leavingMs * REPLICAS_CHANGE_PAUSE_SHARE;
  const connection = createStoreConnection(clock, ctx.log);
  let newest: DirectConfig | undefined;
  /** The store has a configuration that could not be read. */
  let isConfigUnread = false;
  /** When replicas were last taken over, on this process's clock. */
  let replicasChangedAt = clock.now();
  let hasReplicas = false;
  /**
   * Era of the peer whose configuration was taken before the store answered. A
   * later era in the store's first answer shows a restore.
   */
  let takenEra: StoreEra;
  /** When the store first told its era. */
  let firstEraAt: number | undefined;
  /** Number of live entries, including this one. */
  let entryCount = 1;
  const eraTracker = createStoreEraTracker({
    log: ctx.log,
    metrics: ctx.metrics,
    onFirstEra: () => {
      firstEraAt = clock.now();
      settledEra.lookUp();
      if (isOlderEra(takenEra, eraTracker.current())) handleRestore();
    },
    onRestored: () => handleRestore(),
  });
  store.watchEra(eraTracker.observe);
  const hasEra = () => eraTracker.current() !== undefined;
  const onError = createStepReport(ctx);
  const settledEra = createSettledEra({
    onError,
    store,
    clock,
    random,
    log: ctx.log,
    isBootstrap: options.isBootstrap,
    currentEra: eraTracker.current,
    onSettled: () => configFollower.relistNow(),
    onUnsettled: () => {
      const until = (firstEraAt ?? clock.now()) + REWRITE_GRACE_MS;
      ctx.send('direct', {kind: 'keys-unconfirmed', until});
      settledEra.settleAfter(until - clock.now());
    },
  });
  // Each part is owned before the next one starts: a start that fails half-way
  // would leave it running, with calls into parts that do not exist.
  ctx.own(settledEra.stop);
  const configProof = createConfigProof(
    clock,
    ctx.log,
    () => firstEraAt,
    settledEra.isSettled,
  );
  // During this time any entry may be the one that knows the newest
  // configuration, not only those with earlier names.
  let queryAnyPeerUntil = clock.now() + QUERY_ANY_PEER_MS;
  const handleRestore = () => {
    queryAnyPeerUntil = clock.now() + QUERY_ANY_PEER_MS;
    // A restore is told once, so no step may keep the others from theirs.
    runAll([
      configProof.storeRestored,
      () => clock.after(REWRITE_GRACE_MS, () => configFollower.relistNow()),
      () => settledEra.settleAfter(REWRITE_GRACE_MS),
      quarantineRecords.storeRestored,
      evacuations.storeRestored,
      sendRestored,
      () => ctx.send('sharing', {kind: 'store-restored'}),
      // Runs after the answer that showed the new era has been handled.
      () => clock.after(0, () => observeEra(eraTracker.current())),
    ]);
  };
  const sendRestored = () => ctx.send('direct', {kind: 'store-restored'});
  const resendState = () => {
    if (newest !== undefined) {
      ctx.send('direct', {kind: 'config', config: newest});
    }
    const evacuated = evacuations.domains();
    if (evacuated !== undefined) sendEvacuated(evacuated);
    evacuations.whenKnown(() =>
      ctx.send('direct', {kind: 'replicas', replicas: knownReplicas.all()}),
    );
    quarantineRecords.reportAll();
    configFollower.relistNow();
  };
  const observeEra = (era: StoreEra) =>
    runAll([
      () => configFollower.observeEra(era),
      () => replicaFollower.observeEra(era),
      () => quarantineRecords.observeEra(era),
      () => evacuations.observeEra(era),
    ]);
  // Replicas may be fetched from a peer before this entry's own calls show the
  // restore.
  const tellEra = createToldEra([sendRestored, observeEra]);
  // Where the store reports its era, the era tracker detects a restore from any
  // answer.
  const onRestored = () => {
    if (eraTracker.current() === undefined) handleRestore();
  };
  const news = createVersionNews({
    clock,
    log: ctx.log,
    onHeard: (version, from) =>
      ctx.send('direct', {kind: 'version-heard', version, from}),
  });
  const applyConfig = (
    config: DirectConfig | undefined,
    from: string,
    sentAt: number,
  ) => {
    // The last configuration stays in force when the store has none or an older
    // one.
    if (config === undefined) return;
    if (newest !== undefined && config.version <= newest.version) return;
    ctx.send('direct', {kind: 'config', config});
    // Noted last: a version that is noted is not sent again.
    newest = config;
    news.fetched(config.version, from, sentAt);
  };
  const applyReplicas = (items: ReadonlyMap<string, DirectReplica>) => {
    replicasChangedAt = clock.now();
    knownReplicas.replaceAll(items);
    evacuations.whenKnown(() =>
      ctx.send('direct', {kind: 'replicas', replicas: items}),
    );
    hasReplicas = true;
  };
  const applyReplicaChanges = (
    items: ReadonlyMap<string, DirectReplica | undefined>,
  ) => {
    replicasChangedAt = clock.now();
    knownReplicas.applyChanges(items);
    evacuations.whenKnown(() =>
      ctx.send('direct', {kind: 'replica-changes', replicas: items}),
    );
  };
  const sendEvacuated = (failureDomains: ReadonlySet<string>) =>
    ctx.send('direct', {kind: 'evacuations', failureDomains});
  const sendConfirmed = (
    asOf: number,
    askedAt: number,
    origin: EvidenceOrigin,
  ) => ctx.send('direct', {kind: 'confirmed', asOf, askedAt, origin});
  const closeIdle = () => store.closeIdle?.();
  // An outage may end before one of the watches notices it. Either watch's
  // failure means that records of replicas may have expired.
  const onFault = (fault: StoreFault) => {
    onCallFailed(fault);
    if (fault.isSuperseded === true) return;
    ctx.send('direct', {kind: 'store-failed'});
  };
  // A call without an answer may mean a lost store, or one connection that
  // failed silently. The next watch of the configuration may be long in coming,
  // and as long as the store counts as lost, peers' replicas replace own ones.
  // Connections fail silently together, so the watch of the replicas may wait in
  // vain as well.
  const onCallFailed = (fault: StoreFault) => {
    const isFirst = !connection.isLost();
    if (fault.isSuperseded !== true) connection.callFailed(fault);
    if (fault.unanswered !== true) return;
    closeIdle();
    configFollower.relistNow();
    if (isFirst) replicaFollower.restartWatch();
  };
  const knownReplicas = createKnownReplicas();
  const maxRetryMs = () =>
    confirmation.isPeerAnswering()
      ? MAX_RETRY_WITH_PEER_MS
      : MAX_RETRY_WITHOUT_PEER_MS;
  const common = {clock, random, maxRetryMs, onError};
  const configTimer = createConfirmationTimer(clock, CONFIG_WATCH_MS);
  const replicasTimer = createConfirmationTimer(clock, REPLICAS_WATCH_MS);
  const configFollower = followCollection({
    collection: store.configs,
    ...common,
    waitMs: () => (confirmation.isActive() ? LONG_WATCH_MS : CONFIG_WATCH_MS),
    changePauseMs: 0,
    closeIdle,
    onList: (items, _isPartial, sentAt) => {
      const [config] = items.values();
      isConfigUnread = config === undefined && newest !== undefined;
      configProof.versionListed(config?.version);
      items.forEach(item => applyConfig(item, OWN_CALL, sentAt));
    },
    onChanges: (items, sentAt) => {
      for (const config of items.values()) {
        if (config !== undefined) configProof.versionWritten(config.version);
        applyConfig(config, OWN_CALL, sentAt);
      }
      // It was removed or cannot be decoded; the list shows which.
      isConfigUnread ||= [...items.values()].includes(undefined);
      if (isConfigUnread) configFollower.relistNow();
    },
    onConfirmed: sentAt => {
      connection.callSucceeded();
      configTimer.markConfirmed(sentAt);
      if (!isConfigUnread && configProof.provesNewest(newest?.version, sentAt))
        sendConfirmed(sentAt, sentAt, {source: node});
    },
    onRestored,
    onFault,
  });
  ctx.own(configFollower.stop);
  const replicaFollower = followCollection({
    collection: store.replicas,
    ...common,
    waitMs: () => (confirmation.isActive() ? LONG_WATCH_MS : REPLICAS_WATCH_MS),
    changePauseMs,
    closeIdle,
    onList: (items, isPartial) => {
      const digest = knownReplicas.digest();
      if (isPartial) applyReplicaChanges(items);
      else applyReplicas(items);
      // A watch that is waiting should have reported what the list shows.
      if (knownReplicas.digest() !== digest) replicaFollower.restartWatch();
    },
    onChanges: applyReplicaChanges,
    onConfirmed: replicasTimer.markConfirmed,
    onRestored,
    onFault,
  });
  ctx.own(replicaFollower.stop);
  const quarantineRecords = createQuarantineRecords({
    ...common,
    store,
    wallMs: options.wallMs,
    log: ctx.log,
    waitMs: () => (entryCount > 1 ? QUARANTINE_WATCH_MS : REPLICAS_WATCH_MS),
    onReports: reports =>
      ctx.send('direct', {kind: 'quarantine-records', reports}),
    onReleased: digest =>
      ctx.send('direct', {kind: 'quarantine-released', digest}),
    onFault: onCallFailed,
  });
  ctx.own(quarantineRecords.stop);
  const evacuations =
    evacuateMs === undefined
      ? NO_EVACUATIONS
      : followEvacuations({
          ...common,
          collection: store.evacuations,
          log: ctx.log,
          evacuateMs,
          longWatchMs: LONG_WATCH_MS,
          isConfirmed: () => confirmation.isActiveForEvacuations(),
          isStoreLost: connection.isLost,
          fetchFromPeer: from =>
            peerRequests.fetchEvacuations(from).catch(logFetchFailed),
          onChange: sendEvacuated,
          onFault: onCallFailed,
        });
  ctx.own(evacuations.stop);
  const peerRequests = createPeerRequests(ctx);
  const logFetchFailed = (cause: unknown): undefined => {
    const message = String(cause);
    ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'ask for it', message});
    return undefined;
  };
  const logFetched = (
    what: string,
    {node, configVersion: version}: PeerAnswer,
  ) => ctx.log(DIRECT_EVENTS.knowledgeTaken, {what, entry: node, version});
  const catchUp = createCatchUp({
    ownVersion: () => newest?.version,
    mayTakeReplicas: () => connection.isLost() || !hasReplicas,
    fetchConfig: peerRequests.fetchConfig,
    fetchReplicas: peerRequests.fetchReplicas,
    onConfig: (config, from) => {
      logFetched('configuration', from);
      if (!hasEra()) takenEra ??= from.era;
      applyConfig(config, from.node, from.askedAt);
      confirmation.queryNow();
    },
    onReplicas: (items, from) => {
      // A peer that has no list yet hands over an empty one.
      if (items.size === 0 && !hasReplicas) return;
      logFetched('replicas', from);
      applyReplicas(items);
    },
    onFetchFailed: logFetchFailed,
  });
  const ownKnowledge = () => ({
    // A peer that takes the configuration from here takes its era as well.
    era: eraTracker.current() ?? takenEra,
    configVersion: newest?.version,
    replicasDigest: knownReplicas.digest(),
    evacuationsDigest: evacuations.digest(),
  });
  const reports = createKnowledgeReports(ctx, ownKnowledge);
  const mayQueryAnyPeer = () =>
    connection.isLost() || clock.now() < queryAnyPeerUntil;
  const confirmation = createPeerConfirmation({
    clock,
    onError,
    maxAgeMs: maxPeerEvidenceAgeMs(maxReadyAgeMs),
    // The service `sharing` may end while the query is open.
    replicasChangedAt: () => replicasChangedAt,
    queryPeer: () =>
      peerRequests.queryPeer(mayQueryAnyPeer()).catch(err => {
        const message = String(err);
        ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'ask an entry', message});
        return undefined;
      }),
    ownKnowledge,
    // The entries before this one by name: no two entries rely on each other.
    mayRelyOn: entry => entry < node,
    onConfirmed: sendConfirmed,
    onDifferentConfig: answer => {
      news.heard(answer);
      configProof.peerHasVersion(
        answer.configVersion ?? Number.NEGATIVE_INFINITY,
      );
      if (!catchUp.handleDifferentConfig(answer)) configFollower.relistNow();
    },
    onSameConfig: catchUp.handleSameConfig,
    onKnowledge: answer => {
      if (!hasReplicas) catchUp.handleDifferentReplicas(answer);
    },
    onDifferentReplicas: answer => {
      closeIdle();
      replicaFollower.relistNow();
      catchUp.handleDifferentReplicas(answer);
    },
    onDifferentEvacuations: evacuations.handleDifferent,
    onNewerEra: ({era}) => tellEra(era),
    onUnconfirmed: () => {
      configTimer.renew(configFollower);
      if (replicasTimer.isOverdue()) replicaFollower.relistNow();
    },
    onChange: reports.logCover,
  });
  ctx.own(confirmation.stop);
  // What the store showed before this time did not count as proof then.
  const relistConfig = () => {
    if (hasEra()) configFollower.relistNow();
  };
  ctx.own(clock.after(FIRST_PEER_ANSWER_MS, relistConfig));
  ctx.own(clock.after(REWRITE_GRACE_MS, relistConfig));
  void ctx.mailbox.observe(message => {
    switch (message.kind) {
      case 'knowledge':
        return reports.reply(message.reply);
      case 'state':
        return message.reply({
          config: newest,
          replicas: knownReplicas.all(),
          evacuations: evacuations.domains(),
        });
      case 'entries':
        entryCount = message.count;
        // A peer may know what this entry has not read yet.
        return newest === undefined ? confirmation.queryNow() : undefined;
      case 'quarantined':
        return quarantineRecords.ensureStored(message.report, message.isOwn);
      case 'quarantine-cleared':
        return quarantineRecords.clear(message.digest, message.isOwn);
      case 'claim-trial':
        return quarantineRecords
          .claimTrial(message.digest, message.trial, message.claimant)
          .then(message.reply);
      case 'confirm':
        // This message comes with each request. A list would be in vain while
        // the store's answers prove nothing; a watch returns when that changes.
        if (configProof.provesNewest(newest?.version)) {
          configFollower.relistNow();
        }
        return confirmation.queryNow();
      case 'resend-state':
        return resendState();
    }
  });
}
