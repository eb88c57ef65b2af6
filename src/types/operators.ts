/**
 * What a process's operators can ask, over HTTP. An entry and a side pass
 * handlers of their own for what they have.
 */
import type {Either} from 'purify-ts';
import type {NumberedDeclarations} from './config.js';
import type {OnyxError} from './errors.js';
import type {ConfigNumber, RequestId} from './ids.js';
import type {
  ConfigAccepted,
  ConfigHistoryLine,
  ConfigPatch,
  ConfigRejection,
  RoutingDecision,
} from './services.js';

/** A handler left out answers `not-found`. */
export interface OperatorHandlers {
  readonly ready: () => Promise<boolean>;
  /** Shown as JSON. */
  readonly status: () => Promise<object>;
  readonly hosts?: () => Promise<object>;
  readonly explain?: (id: RequestId) => Promise<readonly RoutingDecision[]>;
  /** Starts the drain of the process and returns at once. */
  readonly drain?: () => void;
  readonly config?: ConfigHandlers;
}

export interface ConfigHandlers {
  /** 0 for the newest. */
  readonly show: (
    number: ConfigNumber,
  ) => Promise<Either<OnyxError, NumberedDeclarations>>;
  readonly history: (
    limit: number,
  ) => Promise<Either<OnyxError, readonly ConfigHistoryLine[]>>;
  readonly apply: (
    patch: ConfigPatch,
  ) => Promise<Either<ConfigRejection, ConfigAccepted>>;
}
