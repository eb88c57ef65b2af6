/**
 * Handlers behind the operators' HTTP API. Entries and sides each implement
 * the handlers that apply to their role.
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

/** Handlers of one process. A route without a handler answers `not-found`. */
export interface OperatorHandlers {
  /** Whether the process is ready to serve. */
  readonly ready: () => Promise<boolean>;
  /** Status of the process, answered as JSON. */
  readonly status: () => Promise<object>;
  /** Known hosts, answered as JSON. */
  readonly hosts?: () => Promise<object>;
  /** Routing decisions of a request. */
  readonly explain?: (id: RequestId) => Promise<readonly RoutingDecision[]>;
  /** Starts to drain the process and returns immediately. */
  readonly drain?: () => void;
  readonly config?: ConfigHandlers;
}

/** Handlers of the configuration routes. */
export interface ConfigHandlers {
  /** The given configuration version; 0 selects the newest. */
  readonly show: (
    number: ConfigNumber,
  ) => Promise<Either<OnyxError, NumberedDeclarations>>;
  /** Accepted patches, at most `limit`. */
  readonly history: (
    limit: number,
  ) => Promise<Either<OnyxError, readonly ConfigHistoryLine[]>>;
  /** Applies a patch, or only validates it on a dry run. */
  readonly apply: (
    patch: ConfigPatch,
  ) => Promise<Either<ConfigRejection, ConfigAccepted>>;
}
