/**
 * Settings of an entry that serves upstreams without sides. The file is JSON
 * with comments, and it is validated completely before any service starts.
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
  string,
} from 'purify-ts/Codec';
import {Left, Right} from 'purify-ts/Either';
import type {Either} from 'purify-ts';

const ADDRESS_FORMAT = 'IP:PORT';

/** Value of `role` in a direct entry's settings file. */
const ROLE = 'direct-entry';

export const directSettingsCodec = Codec.interface({
  role: exactly(ROLE),
  /** Name of this process, written on each log line. */
  node: string,
  failureDomain: string,
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
   * Set for the first start of the whole system, when no earlier state can be
   * lost. @default false
   */
  bootstrap: optional(boolean),
  /** UDP ports on which other entries reach this one. */
  peerPorts: array(number),
  store: Codec.interface({address: string}),
  limits: Codec.interface({memoryMb: number, maxDescriptors: number}),
  timing: Codec.interface({
    /** Time from SIGTERM until the process ends, in seconds. */
    graceS: number,
    /**
     * Longest time for which a key is still accepted after its removal, in
     * milliseconds.
     */
    revokeMs: number,
    /** Longest memory lease that a replica grants, in milliseconds. */
    maxHoldMs: optional(number),
    /**
     * How long a replica that is shutting down still serves, in milliseconds.
     */
    leavingMs: optional(number),
    /**
     * How long memory may stay reserved after its last use, in milliseconds.
     */
    freeMs: optional(number),
    /**
     * How long memory may stay reserved without having been used, in
     * milliseconds.
     */
    unusedMs: optional(number),
  }),
  retries: Codec.interface({
    /** Retries as a share of requests, over all entries. */
    ratio: number,
    /** Retries allowed beyond that share in one window, over all entries. */
    slack: number,
    windowS: number,
  }),
});

/** Validated settings of a direct entry. */
export type DirectSettings = ReturnType<
  typeof directSettingsCodec.unsafeDecode
>;

/**
 * Whether a settings file belongs to a direct entry. Also works for a file that
 * is not valid.
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
  return directSettingsCodec.decode(value).chain(checkAddresses);
}

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

/** Splits IP:PORT into its parts; returns undefined for any other format. */
export function splitAddress(
  address: string,
): {readonly ip: string; readonly port: number} | undefined {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  const isValid =
    separator > 0 && Number.isInteger(port) && port > 0 && port < 65_536;
  return isValid ? {ip: address.slice(0, separator), port} : undefined;
}
