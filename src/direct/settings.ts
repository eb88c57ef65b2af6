/**
 * Settings of a direct entry, which serves upstreams without sides. The file is
 * JSON with comments. Before any service starts, the types of all fields and the
 * form of four addresses are checked: those under `listen` and the store's.
 */
import {parse} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';
import {
  Codec,
  array,
  boolean,
  exactly,
  number,
  optional,
  record,
  string,
} from 'purify-ts/Codec';
import {Left, Right} from 'purify-ts/Either';
import type {Either} from 'purify-ts';

/** Form of an address in error messages. */
const ADDRESS_FORMAT = 'IP:PORT';

/** Value of `role` in a direct entry's settings file. */
const ROLE = 'direct-entry';

export const directSettingsCodec = Codec.interface({
  role: exactly(ROLE),
  /** Name of this process, written on each log line. */
  node: string,
  /** Failure domain of this process's host. */
  failureDomain: string,
  /** IP address at which peers, the other entries, reach this process. */
  ip: string,
  listen: Codec.interface({
    /** Address for callers, as IP:PORT. */
    callers: string,
    /** Address for the load balancer's readiness checks, as IP:PORT. */
    ready: string,
    /** Address that serves counters and histograms, as IP:PORT. */
    metrics: string,
  }),
  /**
   * Whether the whole system starts for the first time, so that no earlier
   * state can be lost. If the store has no record of a settled era, an entry
   * assumes that a restore has lost writes and that they are not repeated yet.
   * With `bootstrap`, it writes the record at once instead. @default false
   */
  bootstrap: optional(boolean),
  /**
   * Ports on which peers reach this process. Only the first one is used, both
   * for datagrams (UDP) and for HTTP.
   */
  peerPorts: array(number),
  /** Address of the platform's store, as IP:PORT. */
  store: Codec.interface({address: string}),
  /**
   * Memory of this process in megabytes, and its number of file descriptors.
   * Both are required. Bodies wait or are rejected before the memory is used up.
   */
  limits: Codec.interface({memoryMb: number, maxDescriptors: number}),
  timing: Codec.interface({
    /** Longest time from SIGTERM until the process ends, in seconds. */
    graceS: number,
    /**
     * Longest time for which a caller's key is still accepted after its removal
     * from the configuration, in milliseconds.
     */
    revokeMs: number,
    /**
     * Longest time from the store's acknowledgement of a configuration until it
     * must be in force, in milliseconds. Routes and keys are denied only on
     * evidence from the store that is younger than this. Lowered limits on
     * callers apply after this time.
     * @default any evidence that is recent enough to accept keys; 5000 for the
     * limits
     */
    configMs: optional(number),
    /**
     * Longest lease on engine memory that a replica grants, in milliseconds. An
     * entry leases memory at the replicas of a group, which prefill one long
     * prompt together. @default unlimited
     */
    maxHoldMs: optional(number),
    /**
     * How long a replica that is shutting down still serves, in milliseconds.
     * @default 1500
     */
    leavingMs: optional(number),
    /**
     * How long the platform lets leased memory stay reserved after its last
     * use, in milliseconds. @default unlimited
     */
    freeMs: optional(number),
    /**
     * How long the platform lets leased memory stay reserved if it is never
     * used, in milliseconds. @default unlimited
     */
    unusedMs: optional(number),
    /**
     * Longest time from the store's acknowledgement of an evacuation until
     * nothing more is sent to that failure domain, in milliseconds.
     * @default evacuations are not followed
     */
    evacuateMs: optional(number),
  }),
  retries: Codec.interface({
    /** Retries as a share of requests, over all entries. */
    ratio: number,
    /** Most retries that can be saved up, over all entries. */
    slack: number,
    /**
     * Length of a window, in seconds. It is required, but this process does not
     * read it. The retry budget is a token bucket without a window. Each
     * request adds `ratio` of a retry, up to this entry's equal part of
     * `slack`. Both are reduced by `BUDGET_SHARE` in `serving.ts`.
     */
    windowS: number,
  }),
  /**
   * How far all entries together may exceed the requests a second that a cold
   * replica takes, which its service states in the configuration. In any one
   * second it gets at most `overFactor` times as many, and `slack` more.
   * @default cold replicas are used as any other
   */
  coldReplicas: optional(Codec.interface({overFactor: number, slack: number})),
  /**
   * Shares of organisations in the engine time of a service while its engines
   * are full. @default none, and organisations are not told apart
   */
  organisationShares: optional(
    Codec.interface({
      /** Weights by organisation, each over 0. @default 1 for each */
      weights: optional(record(string, number)),
    }),
  ),
  /**
   * Bounds of what this entry holds for callers that read slowly.
   * @default none
   */
  slowReaders: optional(
    Codec.interface({
      /**
       * Longest time for which a caller may read nothing of its answer, in
       * milliseconds. It is shorter than the time after which a replica cuts
       * off an answer that is not read.
       */
      callerTimeoutMs: number,
      /** Largest share of `limits.memoryMb` for bodies and unread answers. */
      maxHeldShare: number,
    }),
  ),
});

/** Validated settings of a direct entry. */
export type DirectSettings = ReturnType<
  typeof directSettingsCodec.unsafeDecode
>;

/**
 * Whether the text is that of a direct entry's settings file. Only `role` is
 * read, so the other fields may be invalid.
 */
export function isDirectSettings(text: string): boolean {
  const value = parse(text) as {readonly role?: unknown} | undefined;
  return value?.role === ROLE;
}

/** Parses and validates the text of a settings file. */
export function parseDirectSettings(
  text: string,
): Either<string, DirectSettings> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  const firstError = errors[0];
  if (firstError !== undefined) {
    return Left(`not JSON with comments, at offset ${firstError.offset}`);
  }
  return directSettingsCodec
    .decode(value)
    .chain(checkAddresses)
    .chain(checkWeights)
    .chain(checkSlowReaders);
}

/** Checks the form of the addresses under `listen` and of the store's. */
function checkAddresses(
  settings: DirectSettings,
): Either<string, DirectSettings> {
  const {callers, ready, metrics} = settings.listen;
  const invalid = [callers, ready, metrics, settings.store.address].find(
    address => splitAddress(address) === undefined,
  );
  return invalid === undefined
    ? Right(settings)
    : Left(`"${invalid}" is not of the form ${ADDRESS_FORMAT}`);
}

/** Checks that the weights of organisations are over 0. */
function checkWeights(
  settings: DirectSettings,
): Either<string, DirectSettings> {
  const weights = Object.entries(settings.organisationShares?.weights ?? {});
  const invalid = weights.find(([, weight]) => !(weight > 0));
  return invalid === undefined
    ? Right(settings)
    : Left(`the weight of organisation "${invalid[0]}" is not over 0`);
}

/**
 * Checks that the bounds for slow readers are over 0, and the share at most 1.
 */
function checkSlowReaders(
  settings: DirectSettings,
): Either<string, DirectSettings> {
  const {callerTimeoutMs = 1, maxHeldShare = 1} = settings.slowReaders ?? {};
  if (!(callerTimeoutMs > 0)) return Left('"callerTimeoutMs" is not over 0');
  return maxHeldShare > 0 && maxHeldShare <= 1
    ? Right(settings)
    : Left('"maxHeldShare" is not over 0 and at most 1');
}

/**
 * Splits IP:PORT at its last colon. Returns undefined if there is no text
 * before the colon or no port from 1 to 65535 after it. The IP is not checked.
 */
export function splitAddress(
  address: string,
): {readonly ip: string; readonly port: number} | undefined {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  const isValid =
    separator > 0 && Number.isInteger(port) && port > 0 && port < 65_536;
  return isValid ? {ip: address.slice(0, separator), port} : undefined;
}
