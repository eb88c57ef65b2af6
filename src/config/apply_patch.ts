/**
 * Applies an operator's patch to the configuration at most once. A patch based
 * on number N can only become number N+1, by a conditional update of the head
 * object in the store. When the reply to that update is lost, the patch id
 * stored under N+1 shows whether this patch or another one became N+1.
 */
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either, Maybe} from 'purify-ts';
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Ran} from '../types/errors.js';
import type {ConfigNumber} from '../types/ids.js';
import type {StoreError} from '../types/platform.js';
import type {Clock, Random} from '../types/runtime.js';
import type {
  ConfigAccepted,
  ConfigFault,
  ConfigPatch,
  ConfigRejection,
} from '../types/services.js';
import {assembleConfig} from './config_state.js';
import type {AcceptedConfig} from './config_state.js';
import type {ConfigHead, ConfigStore} from './config_store.js';
import {createInitialDeclarations} from './declarations_schema.js';
import {
  MAX_VALUE_BYTES,
  createManifest,
  splitDeclarations,
} from './documents.js';
import type {Manifest, NamedDocument} from './documents.js';
import {patchDeclarations} from './patch.js';
import type {PatchedDeclarations} from './patch.js';
import type {LiveHostCounts} from './validate.js';

/**
 * Longest pause before a store call is repeated, in milliseconds. Each pause is
 * drawn at random between half of it and all of it.
 */
const MAX_RETRY_PAUSE_MS = 200;

/** Dependencies and limits of applying a patch. */
export interface ApplyPatchOptions {
  readonly store: ConfigStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the highest configuration number that this process has seen. */
  readonly highestSeenNumber: () => ConfigNumber;
  /** Returns the documents that this process holds, as JSON text by hash. */
  readonly knownDocuments: () => ReadonlyMap<string, string>;
  /**
   * Resolves to the numbers of live hosts. A patch with a placement wish that
   * these hosts cannot meet is rejected. When it resolves to Nothing, that
   * check is skipped.
   */
  readonly liveHostCounts: () => Promise<Maybe<LiveHostCounts>>;
  /** Time after which store calls are not repeated any more, in milliseconds. */
  readonly timeoutMs: number;
}

/** Result of an accepted patch. */
export interface AppliedPatch {
  readonly accepted: ConfigAccepted;
  /**
   * The configuration that this call wrote to the head. Undefined for a dry
   * run, and for a patch that an earlier call had already applied.
   */
  readonly config: AcceptedConfig | undefined;
}

type PatchResult<T> = Promise<Either<ConfigRejection, T>>;

/**
 * Applies a patch. A Left holds the reason for the rejection. Nothing changed
 * in the store, unless the error's `ran` is `unknown`.
 */
export async function applyConfigPatch(
  options: ApplyPatchOptions,
  patch: ConfigPatch,
): PatchResult<AppliedPatch> {
  const attempt = new PatchApplier(options, patch);
  return attempt.run();
}

/** Applies one patch: reads the head, checks the patch, writes the result. */
class PatchApplier {
  /** Time after which no store call is repeated, in the clock's milliseconds. */
  private readonly deadline: number;
  /** Number of the head that was read last. */
  private headNumber: ConfigNumber;
  /** Whether the patch may have been written to the head. */
  private ran: Ran = 'no';

  constructor(
    private readonly options: ApplyPatchOptions,
    private readonly patch: ConfigPatch,
  ) {
    this.deadline = options.clock.now() + options.timeoutMs;
    this.headNumber = options.highestSeenNumber();
  }

  run(): PatchResult<AppliedPatch> {
    return EitherAsync<ConfigRejection, AppliedPatch>(
      async ({fromPromise, liftEither}) => {
        const head = await fromPromise(this.readFreshHead());
        const earlier = await fromPromise(this.findEarlierResult(head));
        if (earlier !== undefined) return this.toRepeatedResult(earlier);
        if (this.headNumber !== this.patch.base) {
          return liftEither(this.reject(this.createConflictError()));
        }
        const base = await fromPromise(this.readBaseConfig(head));
        const patched = await fromPromise(this.applyToBase(base));
        const documents = splitDeclarations(patched.declarations);
        await liftEither(this.checkSizes(documents));
        if (this.patch.dryRun) return this.toAppliedPatch(patched, undefined);
        const manifest = this.buildManifest(patched, documents);
        await fromPromise(this.writeDocumentsAndHistory(base, documents));
        await fromPromise(this.updateHead(manifest, head?.version ?? 0));
        return this.toAppliedPatch(
          patched,
          toAcceptedConfig(manifest, patched, documents),
        );
      },
    ).run();
  }

  /**
   * Reads the head, and repeats the read while it returns a lower number than
   * this process has seen. With a stale head, a patch based on the newest
   * number would be rejected as a conflict.
   */
  private async readFreshHead(): PatchResult<ConfigHead | undefined> {
    for (;;) {
      const read = await this.options.store.readHead('operator');
      const head = read.map(found => found.extract());
      if (head.isRight()) {
        const found = head.extract() as ConfigHead | undefined;
        const number = found?.manifest.number ?? 0;
        if (number >= this.options.highestSeenNumber()) {
          this.headNumber = number;
          return Right(found);
        }
      }
      if (!(await this.waitBeforeRetry())) {
        return this.reject(
          this.createStoreError(
            read.isLeft()
              ? (read.extract() as OnyxError).message
              : 'the object API answers with an old head',
          ),
        );
      }
    }
  }

  /**
   * Reads the manifest of number base + 1. Returns it when an earlier call or
   * attempt wrote it with the same patch id; undefined otherwise.
   */
  private async findEarlierResult(
    head: ConfigHead | undefined,
  ): PatchResult<Manifest | undefined> {
    const {patchId, base} = this.patch;
    const newest = head?.manifest;
    if (newest === undefined || this.patch.dryRun) return Right(undefined);
    if (newest.patchId === patchId) return Right(newest);
    if (newest.number <= base + 1) return Right(undefined);
    const read = await this.options.store.readManifest(base + 1);
    return read.caseOf<Either<ConfigRejection, Manifest | undefined>>({
      Left: err => {
        if (err.code === 'not-found') return Right(undefined);
        this.ran = 'unknown';
        return this.reject(this.createStoreError(err.message));
      },
      Right: manifest =>
        Right(manifest.patchId === patchId ? manifest : undefined),
    });
  }

  private async readBaseConfig(
    head: ConfigHead | undefined,
  ): PatchResult<AcceptedConfig | undefined> {
    if (head === undefined) return Right(undefined);
    const read = await this.options.store.readDocuments(
      head.manifest.documents,
      this.options.knownDocuments(),
      'operator',
    );
    return read
      .chain(known => assembleConfig(head.manifest, known))
      .chainLeft(err => this.reject(this.createStoreError(err.message)));
  }

  private async applyToBase(
    base: AcceptedConfig | undefined,
  ): PatchResult<PatchedDeclarations> {
    const liveHostCounts = await this.options.liveHostCounts();
    return patchDeclarations(
      base?.declarations ?? createInitialDeclarations(),
      this.patch,
      liveHostCounts.extract(),
    ).chainLeft(faults => this.rejectFaults(faults));
  }

  private checkSizes(
    documents: readonly NamedDocument[],
  ): Either<ConfigRejection, void> {
    const faults = documents
      .filter(({json}) => Buffer.byteLength(json) > MAX_VALUE_BYTES)
      .map(({name}) => ({
        path: `/${name}`,
        message: `this part takes more than ${MAX_VALUE_BYTES} bytes`,
        mend: 'remove keys that are no longer used',
      }));
    return faults.length === 0 ? Right(undefined) : this.rejectFaults(faults);
  }

  private buildManifest(
    patched: PatchedDeclarations,
    documents: readonly NamedDocument[],
  ): Manifest {
    const {base, patchId, operator} = this.patch;
    const {changedPaths} = patched;
    const origin = {number: base + 1, base, patchId, operator, changedPaths};
    return createManifest(origin, documents);
  }

  /**
   * Writes the new documents, and the history entry of the base. Both must be
   * in the store before the head changes. A head without its documents could
   * not be read. The base's manifest would be lost without its history entry.
   */
  private async writeDocumentsAndHistory(
    base: AcceptedConfig | undefined,
    documents: readonly NamedDocument[],
  ): PatchResult<void> {
    const {store} = this.options;
    const added = new Map(
      documents
        .filter(({hash}) => !base?.jsonByHash.has(hash))
        .map(document => [document.hash, document]),
    );
    const written = await this.retryWrite(() =>
      store.writeDocuments([...added.values()]),
    );
    if (written.isLeft() || base === undefined) return written;
    return this.retryWrite(() => store.writeHistory(base.manifest));
  }

  /** Repeats an idempotent write until it succeeds or the deadline is reached. */
  private async retryWrite(
    write: () => Promise<Either<StoreError, void>>,
  ): PatchResult<void> {
    for (;;) {
      const outcome = await write();
      if (outcome.isRight()) return Right(undefined);
      if (!(await this.waitBeforeRetry())) {
        const err = outcome.extract() as StoreError;
        return this.reject(this.createStoreError(err.message));
      }
    }
  }

  /**
   * Updates the head, or determines which patch updated it. The reply may be
   * lost after the update took effect. A repeat of the update then gets a
   * conflict, as if another patch had been accepted. If that conflict were
   * returned, the operator would apply the same change again, under a second
   * number. So a conflict is resolved by the patch id stored under the new
   * number. A repeat cannot take effect twice, since it has the same condition
   * on the head's version.
   */
  private async updateHead(
    manifest: Manifest,
    version: number,
  ): PatchResult<void> {
    for (;;) {
      const written = await this.options.store.writeHead(manifest, version);
      if (written.isRight()) return Right(undefined);
      const err = written.extract() as StoreError;
      if (err.kind === 'conflict') return this.resolveConflict(err.version);
      if (err.effect === 'unknown') this.ran = 'unknown';
      if (!(await this.waitBeforeRetry())) {
        return this.reject(this.createStoreError(err.message));
      }
    }
  }

  /**
   * Reads the head after a conflict. It has reached `version` or a later one,
   * by an earlier attempt of this patch or by another patch.
   */
  private async resolveConflict(version: number): PatchResult<void> {
    // Until the head is read, it is unknown whether an earlier attempt of
    // this patch took effect.
    this.ran = 'unknown';
    for (;;) {
      const read = await this.options.store.readHead('operator');
      const head = read.map(found => found.extract()).orDefault(undefined);
      if (head !== undefined && head.version >= version) {
        this.headNumber = head.manifest.number;
        const earlier = await this.findEarlierResult(head);
        if (earlier.isRight()) {
          if (earlier.extract() !== undefined) return Right(undefined);
          this.ran = 'no';
          return this.reject(this.createConflictError());
        }
      }
      if (!(await this.waitBeforeRetry())) {
        return this.reject(
          this.createStoreError('the head could not be read after a conflict'),
        );
      }
    }
  }

  private toAppliedPatch(
    patched: PatchedDeclarations,
    config: AcceptedConfig | undefined,
  ): AppliedPatch {
    const accepted = {
      number: this.patch.base + 1,
      changedPaths: patched.changedPaths,
      dryRun: this.patch.dryRun,
    };
    return {accepted, config};
  }

  private toRepeatedResult(manifest: Manifest): AppliedPatch {
    const {number, changedPaths} = manifest;
    const accepted = {number, changedPaths, dryRun: false};
    return {accepted, config: undefined};
  }

  /** Waits before a repeat. Returns false when the deadline would pass. */
  private async waitBeforeRetry(): Promise<boolean> {
    const {clock, random} = this.options;
    const ms = MAX_RETRY_PAUSE_MS * (0.5 + 0.5 * random.next());
    if (clock.now() + ms >= this.deadline) return false;
    await new Promise<void>(resolve => void clock.after(ms, resolve));
    return true;
  }

  private createConflictError(): OnyxError {
    const head = Math.max(this.headNumber, this.options.highestSeenNumber());
    return this.createError(
      'conflict',
      `the patch is based on number ${this.patch.base}, but number ${head} is in force; nothing changed. Look at the changes with: onyxloft config diff --base ${head} FILE`,
    );
  }

  private createStoreError(cause: string): OnyxError {
    const effect =
      this.ran === 'no'
        ? 'Nothing changed'
        : `The patch may have been accepted as number ${this.patch.base + 1}`;
    return this.createError(
      'store-unavailable',
      `the object API could not be used (${cause}). ${effect}. Send the same patch with the same id again: it is accepted once at most`,
    );
  }

  private createError(code: ErrorCode, message: string): OnyxError {
    const peer = code === 'store-unavailable' ? 'object-api' : '';
    return new OnyxError({code, step: 'config', peer, message, ran: this.ran});
  }

  private rejectFaults(
    faults: readonly ConfigFault[],
  ): Either<ConfigRejection, never> {
    const message = `the patch has ${faults.length} fault(s); nothing changed`;
    return this.reject(this.createError('invalid-config', message), faults);
  }

  private reject(
    error: OnyxError,
    faults: readonly ConfigFault[] = [],
  ): Either<ConfigRejection, never> {
    const head = Math.max(this.headNumber, this.options.highestSeenNumber());
    return Left({error, head, faults});
  }
}

function toAcceptedConfig(
  manifest: Manifest,
  patched: PatchedDeclarations,
  documents: readonly NamedDocument[],
): AcceptedConfig {
  const {declarations} = patched;
  const jsonByHash = new Map(documents.map(({hash, json}) => [hash, json]));
  return {manifest, declarations, jsonByHash};
}
