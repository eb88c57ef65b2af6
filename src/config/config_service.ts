/**
 * The service `config`. It holds the newest accepted declarations that this
 * process knows, fetches newer ones from the store and from peers, and applies
 * operators' patches. While the store is unavailable, it keeps serving the
 * declarations that it has.
 */
import {Left, Maybe, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {followMembership} from '../membership/follow_membership.js';
import type {NumberedDeclarations} from '../types/config.js';
import {OnyxError} from '../types/errors.js';
import type {Address, ConfigNumber, NodeId} from '../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {ObjectStore} from '../types/platform.js';
import type {Runtime} from '../types/runtime.js';
import type {
  ConfigAccepted,
  ConfigMessage,
  ConfigPatch,
  ConfigRejection,
  EntryPeer,
} from '../types/services.js';
import type {Transport} from '../types/transport.js';
import {CONFIG_EVENTS} from '../utils/events.js';
import {applyConfigPatch} from './apply_patch.js';
import type {AppliedPatch} from './apply_patch.js';
import {readHistory} from './config_history.js';
import {isConfigHome} from './config_home.js';
import {assembleConfig, createConfigState} from './config_state.js';
import type {ConfigState} from './config_state.js';
import {createConfigStore} from './config_store.js';
import type {ConfigHead, ConfigStore} from './config_store.js';
import {createInitialDeclarations} from './declarations_schema.js';
import {startHeadFollower} from './head_follower.js';
import type {HeadFollower} from './head_follower.js';
import {createFetchReply, fetchFromPeer} from './peer_exchange.js';
import type {LiveHostCounts} from './validate.js';

/** Identity of this process, and the sources of its configuration. */
export interface ConfigServiceOptions {
  readonly node: NodeId;
  /** An entry follows the membership and may become the home; a side does not. */
  readonly role: 'entry' | 'side';
  readonly store: ObjectStore;
  readonly transport: Transport;
  /**
   * Resolves to the live hosts if they are known. A patch with a placement wish
   * that they cannot meet is rejected. @default the check is left out
   */
  readonly liveHostCounts?: () => Promise<Maybe<LiveHostCounts>>;
  /** Longest wait of one watch by the home, in milliseconds. @default 25000 */
  readonly watchMs?: number;
  /**
   * Mean pause between reads of the head by a process that is not the home, in
   * milliseconds. @default 30000 for an entry, 300000 for a side
   */
  readonly pollMs?: number;
  /** Longest delay before the first read, in milliseconds. @default 1000 */
  readonly maxStartDelayMs?: number;
  /** Time limit for applying a patch, in milliseconds. @default 5000 */
  readonly applyTimeoutMs?: number;
}

/**
 * Creates the service. Its configuration and its subscribers are kept when the
 * kernel restarts the service after an error.
 */
export function createConfigService(
  options: ConfigServiceOptions,
): ServiceSpec<'config'> {
  let runtime: Runtime | undefined;
  const state = createConfigState(() => {
    if (runtime === undefined) throw new Error('the service is not started');
    return runtime;
  });
  const store = createConfigStore(options.store);
  return {
    name: 'config',
    start: ctx => {
      runtime = ctx;
      new ConfigTask(ctx, options, state, store).start();
    },
  };
}

type ApplyMessage = Extract<ConfigMessage, {readonly kind: 'apply'}>;

/** One run of the service, from a start to a stop or an error. */
class ConfigTask {
  private isHome = false;
  private isStopped = false;
  private isFetching = false;
  private headFollower: HeadFollower | undefined;
  /**
   * Settles when all patches received so far are handled. Patches are applied
   * one at a time, since of several on one base the store accepts only one.
   */
  private patchQueue: Promise<void> = Promise.resolve();

  constructor(
    private readonly ctx: ServiceContext<'config'>,
    private readonly options: ConfigServiceOptions,
    private readonly state: ConfigState,
    private readonly store: ConfigStore,
  ) {}

  start(): void {
    const {ctx, options} = this;
    ctx.own(() => {
      this.isStopped = true;
      this.headFollower?.stop();
    });
    const isEntry = options.role === 'entry';
    this.headFollower = startHeadFollower({
      store: this.store,
      clock: ctx.clock,
      random: ctx.random,
      isHome: () => this.isHome,
      watchMs: options.watchMs ?? 25_000,
      pollMs: options.pollMs ?? (isEntry ? 30_000 : 300_000),
      maxStartDelayMs: options.maxStartDelayMs ?? 1_000,
      onHead: head => this.handleHead(head),
      onError: cause => ctx.fail(cause),
      onReadFailure: (err, retryMs) =>
        ctx.log(CONFIG_EVENTS.storeUnreachable, {
          cause: err.message,
          step: err.step,
          peer: err.peer,
          retryMs: Math.round(retryMs),
        }),
    });
    if (isEntry) {
      let lastEntries: readonly EntryPeer[] | undefined;
      followMembership(ctx, ({entries}) => {
        // Views arrive many times a second, but the entries rarely change.
        if (entries === lastEntries) return;
        lastEntries = entries;
        this.setHome(isConfigHome(options.node, entries));
      });
    }
    void ctx.mailbox.observe(message => this.handle(message));
  }

  private handle(message: ConfigMessage): void {
    switch (message.kind) {
      case 'subscribe':
        return this.state.subscribe(message.listener);
      case 'peer-number':
        return this.handlePeerNumber(message.peer, message.number);
      case 'fetch':
        return message.reply(createFetchReply(this.state, message.req));
      case 'apply':
        return this.enqueuePatch(message);
      case 'show':
        return this.replyWhenSettled(
          this.readDeclarations(message.number),
          message.reply,
        );
      case 'history':
        return this.replyWhenSettled(
          readHistory(this.store, this.state, message.limit),
          message.reply,
        );
    }
  }

  /** Replies when `answer` resolves. A rejection fails the service. */
  private replyWhenSettled<T>(
    answer: Promise<T>,
    reply: (value: T) => void,
  ): void {
    answer.then(reply).catch(cause => this.ctx.fail(cause));
  }

  private setHome(home: boolean): void {
    if (home === this.isHome || this.isStopped) return;
    this.isHome = home;
    this.ctx.log(CONFIG_EVENTS.homeChanged, {home});
    if (home) this.headFollower?.wake();
  }

  private async handleHead(
    found: Maybe<ConfigHead>,
  ): Promise<Either<OnyxError, void>> {
    const head = found.extract();
    if (head === undefined) {
      if (this.state.number() > 0) this.state.reportOlder(0, 'store');
      else this.state.adoptInitial(createInitialDeclarations());
      return Right(undefined);
    }
    const {manifest} = head;
    if (manifest.number === this.state.number()) return Right(undefined);
    if (manifest.number < this.state.number()) {
      this.state.reportOlder(manifest.number, 'store');
      return Right(undefined);
    }
    const read = await this.store.readDocuments(
      manifest.documents,
      this.state.knownDocuments(),
      'config',
    );
    return read
      .chain(known => assembleConfig(manifest, known))
      .map(config => void this.state.adoptIfNewer(config, 'store'));
  }

  private handlePeerNumber(peer: Address, number: ConfigNumber): void {
    if (number <= this.state.number() || this.isFetching) return;
    this.isFetching = true;
    this.fetchConfig(peer, number)
      .catch(cause => this.ctx.fail(cause))
      .finally(() => {
        this.isFetching = false;
      });
  }

  private async fetchConfig(
    peer: Address,
    number: ConfigNumber,
  ): Promise<void> {
    const fetched = await fetchFromPeer(
      {
        transport: this.options.transport,
        haveNumber: this.state.number(),
        knownDocuments: this.state.knownDocuments(),
        onCorruptDocument: hash =>
          this.ctx.log(CONFIG_EVENTS.documentCorrupt, {peer, hash}),
      },
      peer,
    );
    const config = fetched.chain(got =>
      got === undefined
        ? Right(undefined)
        : assembleConfig(got.manifest, got.jsonByHash),
    );
    config.caseOf({
      Left: err => {
        this.countFetch('failed');
        this.ctx.log(CONFIG_EVENTS.fetchFailed, {
          peer,
          number,
          cause: err.message,
        });
      },
      Right: newer => {
        if (newer === undefined) return this.countFetch('none-newer');
        this.countFetch('taken');
        this.state.adoptIfNewer(newer, 'peer');
      },
    });
  }

  private countFetch(outcome: string): void {
    this.ctx.metrics.count('onyxloft_config_peer_fetch_total', {outcome});
  }

  private enqueuePatch(message: ApplyMessage): void {
    this.patchQueue = this.patchQueue
      .then(() => this.apply(message.patch))
      .then(message.reply)
      .catch(cause => this.ctx.fail(cause));
  }

  private async apply(
    patch: ConfigPatch,
  ): Promise<Either<ConfigRejection, ConfigAccepted>> {
    const {ctx, options, state} = this;
    const outcome = await applyConfigPatch(
      {
        store: this.store,
        clock: ctx.clock,
        random: ctx.random,
        highestSeenNumber: state.number,
        knownDocuments: state.knownDocuments,
        liveHostCounts:
          options.liveHostCounts ?? (() => Promise.resolve(Maybe.empty())),
        timeoutMs: options.applyTimeoutMs ?? 5_000,
      },
      patch,
    );
    return outcome.bimap(
      rejection => this.recordRejected(patch, rejection),
      applied => this.recordAccepted(patch, applied),
    );
  }

  private recordAccepted(
    patch: ConfigPatch,
    {accepted, config}: AppliedPatch,
  ): ConfigAccepted {
    const {ctx} = this;
    if (config !== undefined) this.state.adoptIfNewer(config, 'patch');
    // An earlier call applied this patch. Read the head now, since its number
    // may not have reached this process yet.
    else if (!accepted.dryRun) this.headFollower?.wake();
    ctx.metrics.count('onyxloft_config_patches_total', {outcome: 'accepted'});
    ctx.log(CONFIG_EVENTS.patchAccepted, {
      number: accepted.number,
      base: patch.base,
      patchId: patch.patchId,
      operator: patch.operator,
      dryRun: accepted.dryRun,
      changed: accepted.changedPaths.length,
    });
    return accepted;
  }

  private recordRejected(
    patch: ConfigPatch,
    rejection: ConfigRejection,
  ): ConfigRejection {
    const {ctx} = this;
    const {error, head, faults} = rejection;
    const isUnknown = error.ran === 'unknown';
    ctx.metrics.count('onyxloft_config_patches_total', {outcome: error.code});
    ctx.log(
      isUnknown ? CONFIG_EVENTS.patchUnknown : CONFIG_EVENTS.patchRejected,
      {
        base: patch.base,
        head,
        patchId: patch.patchId,
        operator: patch.operator,
        code: error.code,
        faults: faults.length,
        cause: error.message,
      },
    );
    return rejection;
  }

  private async readDeclarations(
    number: ConfigNumber,
  ): Promise<Either<OnyxError, NumberedDeclarations>> {
    const inForce = this.state.inForce();
    if (inForce !== undefined && (number === 0 || number === inForce.number)) {
      return Right(inForce);
    }
    if (number === 0) return Left(createNoConfigError());
    const manifest = await this.store.readManifest(number);
    if (manifest.isLeft()) return manifest;
    const {documents} = manifest.unsafeCoerce();
    const read = await this.store.readDocuments(
      documents,
      this.state.knownDocuments(),
      'operator',
    );
    return manifest.chain(found =>
      read
        .chain(known => assembleConfig(found, known))
        .map(({declarations}) => ({number, declarations})),
    );
  }
}

function createNoConfigError(): OnyxError {
  return new OnyxError({
    code: 'store-unavailable',
    step: 'config',
    peer: 'object-api',
    message:
      'no configuration has reached this process yet: neither the object API nor a peer has answered',
    retryAfterMs: 1_000,
  });
}
