/**
 * The service `direct`: takes callers' requests and serves them at upstreams
 * that have no side. It owns the callers' socket, the load book and what it
 * knows of the replicas; the configuration and the replicas come as messages.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {admitRequest} from './admit_request.js';
import type {Refused} from './admit_request.js';
import {dial} from './dial.js';
import {openCallersServer} from './callers_server.js';
import type {CallersServer} from './callers_server.js';
import {openDispatch} from './dispatch.js';
import {
  createStoreEvidence,
  maxReadyAgeMs,
  waitForFreshEvidence,
} from './evidence.js';
import {reportState} from './gauges.js';
import {sendOwnAnswer} from './own_answers.js';
import type {DirectMessage} from './messages.js';
import {createServing} from './serving.js';
import type {DirectSettings} from './settings.js';
import type {
  DirectConfig,
  HeaderCodec,
  ReadReport,
  Reservations,
} from './types.js';

/** In logs and gauges, the age of evidence that there is none of. */
const NEVER_TOLD_MS = 1e9;
/** Share of the revocation bound for which evidence counts. */
const EVIDENCE_SHARE = 0.9;
/**
 * From the signal on, new connections come until the balancer has missed two
 * checks, a second each; then the socket is closed.
 */
const TAKE_ON_MS = 2_600;
/** Between looks whether all that was taken has ended. */
const DRAIN_LOOK_MS = 20;
/** Kept of the grace time for the last answers' way out. */
const GRACE_MARGIN_MS = 500;
/** One other entry is told of some suspects, so that a lost word is mended. */
const SUSPECTS_EVERY_MS = 1_000;
/** As many as one datagram holds. */
const SUSPECTS_TOLD = 4;

export interface DirectFrontOptions {
  readonly settings: DirectSettings;
  readonly incarnation: string;
  readonly codec: HeaderCodec;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  /** Time of one lease on a replica's memory, in milliseconds. */
  readonly holdMs: number;
  /** Memory of a group without a sign of use for this long is released. */
  readonly unusedMs: number;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
}

export function createDirectFront(
  options: DirectFrontOptions,
): ServiceSpec<'direct'> {
  let isRestart = false;
  return {
    name: 'direct',
    start: ctx => {
      startFront(options, ctx);
      if (isRestart) askAgain(ctx);
      isRestart = true;
    },
  };
}

/**
 * The others tell each change once. Without this a front that was started again
 * would have no configuration and no replicas, and refuse every caller.
 */
function askAgain(ctx: ServiceContext<'direct'>): void {
  ctx.send('followed', {kind: 'resend-state'});
  ctx.send('sharing', {kind: 'resend-state'});
}

function startFront(
  options: DirectFrontOptions,
  ctx: ServiceContext<'direct'>,
): void {
  const {settings, codec} = options;
  const {clock, log, metrics, random} = ctx;
  const {revokeMs} = settings.timing;
  let config: DirectConfig | undefined;
  let server: CallersServer | undefined;
  let opening = false;
  let draining = false;
  /** No key can be confirmed before, on this process's clock. */
  let doubtedUntil = Number.NEGATIVE_INFINITY;
  /** Requests that are read, or whose key waits for the store. */
  let admitting = 0;

  const evidence = createStoreEvidence(
    clock,
    options.wallMs,
    revokeMs * EVIDENCE_SHARE,
  );
  const serving = createServing({
    clock,
    log,
    metrics,
    random,
    codec,
    dispatch: openDispatch,
    dial,
    node: settings.node,
    orders: options.orders,
    readReport: options.readReport,
    failureDomain: settings.failureDomain,
    retries: settings.retries,
    idPrefix: `${settings.node}-${options.incarnation}`,
    holdMs: options.holdMs,
    unusedMs: options.unusedMs,
    isDraining: () => draining,
    share: (loads, isLong) =>
      ctx.send('sharing', {kind: 'load', loads, hasLongPrefill: isLong}),
    tellCrashes: reports =>
      ctx.send('sharing', {kind: 'crash-reports', reports, toAll: true}),
    quarantine: {
      onQuarantined: (report, isOwn) =>
        ctx.send('followed', {kind: 'quarantined', report, isOwn}),
      onCleared: (digest, isOwn) =>
        ctx.send('followed', {kind: 'quarantine-cleared', digest, isOwn}),
      claimTrial: (digest, trial) =>
        ctx.ask(
          'followed',
          (reply: (isGained: boolean | undefined) => void) => ({
            kind: 'claim-trial',
            digest,
            trial,
            reply,
          }),
        ),
    },
  });

  const toldAgeMs = () => Math.round(Math.min(evidence.ageMs(), NEVER_TOLD_MS));
  const {setPeerLoad} = serving.book;
  const readState = () => ({
    evidenceAgeMs: toldAgeMs(),
    openRequests: serving.open(),
    replicas: serving.fleet.size(),
    ...serving.state(),
  });

  const doubtMs = () =>
    evidence.isFresh() ? 0 : Math.max(0, doubtedUntil - clock.now());
  // What is known to be in vain is not waited for.
  const keysAreFresh = async () =>
    doubtMs() === 0 &&
    waitForFreshEvidence(clock, evidence, () =>
      ctx.send('followed', {kind: 'confirm'}),
    );

  const refuse = (res: ServerResponse, refused: Refused, id: unknown) => {
    const {status, message} = refused;
    log(DIRECT_EVENTS.refused, {
      requestId: String(id),
      status,
      message,
      config: config?.version,
      evidenceAgeMs: toldAgeMs(),
    });
    metrics.count('onyxloft_direct_refused_total', {status: String(status)});
    // A retry should reach an entry that knows more.
    const close = draining || status === 503 || status === 413;
    sendOwnAnswer(res, {...refused, close});
  };

  const onRequest = (req: IncomingMessage, res: ServerResponse): void => {
    const arrivedAt = clock.now();
    // A head that went out before the drain promised to keep the connection.
    // Kept, it would bring a request too late for a whole answer.
    res.once('finish', () => {
      if (draining) req.socket.end();
    });
    const parts = {
      codec,
      draw: () => random.next(),
      keysAreFresh,
      doubtMs,
      config: () => config,
    };
    admitting++;
    admitRequest(parts, req)
      .finally(() => admitting--)
      .then(result => {
        if (res.destroyed) return;
        if ('status' in result) {
          const {id} = codec.readRequest(req.headers);
          refuse(res, result, id);
        } else {
          serving.serve(result, req, res, arrivedAt);
        }
      })
      .catch(err => {
        const {id} = codec.readRequest(req.headers);
        log(DIRECT_EVENTS.unread, {requestId: id, cause: String(err)});
        res.destroy();
      });
  };

  const openServer = async (): Promise<void> => {
    opening = true;
    server = await openCallersServer(settings.listen.callers, onRequest);
    if (config !== undefined) server.setLimits(config.limits);
    log(DIRECT_EVENTS.listening, {address: settings.listen.callers});
  };

  const setConfig = (next: DirectConfig): void => {
    // A read of an older state must never undo what was in force.
    if (config !== undefined && next.version <= config.version) return;
    log(DIRECT_EVENTS.configAdopted, {
      version: next.version,
      before: config?.version,
      routes: next.routes.length,
    });
    config = next;
    server?.setLimits(next.limits);
    if (!opening) openServer().catch(ctx.fail);
  };

  const drain = (reply: () => void): void => {
    if (draining) return;
    draining = true;
    ctx.send('sharing', {kind: 'draining'});
    const startedAt = clock.now();
    clock.after(TAKE_ON_MS, () => server?.stopTaking());
    const graceMs = settings.timing.graceS * 1_000 - GRACE_MARGIN_MS;
    const cancel = clock.every(DRAIN_LOOK_MS, () => {
      const passedMs = clock.now() - startedAt;
      const done = passedMs > TAKE_ON_MS && serving.open() + admitting === 0;
      if (!done && passedMs < graceMs) return;
      cancel();
      reply();
    });
  };

  const handle = (message: DirectMessage): void => {
    switch (message.kind) {
      case 'config':
        return setConfig(message.config);
      case 'confirmed':
        return evidence.confirm(message.asOf, message.askedAt);
      case 'replicas':
        return serving.fleet.setAll(message.replicas);
      case 'replica-changes':
        return serving.fleet.change(message.replicas);
      case 'keys-unconfirmed':
        doubtedUntil = message.until;
        return;
      case 'store-failed':
        return serving.fleet.storeFailed();
      case 'store-restored':
        return serving.fleet.restored();
      case 'evidence-age':
        return message.reply(evidence.ageMs());
      case 'peer-load':
        return setPeerLoad(message.node, message.loads, message.keepMs);
      case 'crash-reports':
        return serving.crashes.merge(message.reports);
      case 'quarantine-released':
        return serving.crashes.release(message.digest);
      case 'entries':
        return serving.setEntries(message.count);
      case 'ready':
        return message.reply(
          !draining &&
            server !== undefined &&
            serving.fleet.size() > 0 &&
            // In doubt are all entries at once, so no other one serves more.
            (evidence.ageMs() < maxReadyAgeMs(revokeMs) || doubtMs() > 0),
        );
      case 'count':
        return message.reply(serving.open());
      case 'drain':
        return drain(message.reply);
    }
  };

  ctx.own(() => server?.close());
  ctx.own(reportState(clock, metrics, readState));
  const tellSuspects = () => {
    const reports = serving.crashes.next(SUSPECTS_TOLD);
    if (reports.length === 0) return;
    ctx.send('sharing', {kind: 'crash-reports', reports, toAll: false});
  };
  ctx.own(clock.every(SUSPECTS_EVERY_MS, tellSuspects));
  void ctx.mailbox.observe(handle);
}
