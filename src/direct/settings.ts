/**
 * Settings of an entry that serves upstreams without sides: JSON with comments,
 * checked as a whole before anything is started.
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

/** The role that such a file names. */
const ROLE = 'direct-entry';

export const directSettingsCodec = Codec.interface({
  role: exactly(ROLE),
  /** Name of this process, on each log line. */
  node: string,
  failureDomain: string,
  ip: string,
  listen: Codec.interface({
    /** Callers, IP:PORT. */
    callers: string,
    /** The balancer's readiness checks, IP:PORT. */
    ready: string,
    /** Counters and histograms, IP:PORT. */
    metrics: string,
  }),
  /** The whole system starts for the first time. @default false */
  bootstrap: optional(boolean),
  /** Where other entries reach this one, over UDP. */
  peerPorts: array(number),
  store: Codec.interface({address: string}),
  limits: Codec.interface({memoryMb: number, maxDescriptors: number}),
  timing: Codec.interface({
    /** From SIGTERM to the end of the process, in seconds. */
    graceS: number,
    /** Longest use of a key after it was taken away. */
    revokeMs: number,
    /** Longest lease on memory that a replica grants. */
    maxHoldMs: optional(number),
    /** A replica that leaves serves on for so long, in milliseconds. */
    leavingMs: optional(number),
    /** Memory may stay set aside this long after its last use. */
    freeMs: optional(number),
    /** Memory may stay set aside this long without having been used. */
    unusedMs: optional(number),
  }),
  retries: Codec.interface({
    /** Retries as a share of requests, over all entries. */
    ratio: number,
    /** Retries beyond that share in one window, over all entries. */
    slack: number,
    windowS: number,
  }),
});

/** Checked settings of a direct entry. */
export type DirectSettings = ReturnType<
  typeof directSettingsCodec.unsafeDecode
>;

/** Whether a settings file is a direct entry's, also where it has faults. */
export function isDirectSettings(text: string): boolean {
  const value = parse(text) as {readonly role?: unknown} | undefined;
  return value?.role === ROLE;
}

/** Reads and checks the text of a settings file. */
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

/** Host and port of IP:PORT; undefined when it has another form. */
export function splitAddress(
  address: string,
): {readonly ip: string; readonly port: number} | undefined {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  const isValid =
    separator > 0 && Number.isInteger(port) && port > 0 && port < 65_536;
  return isValid ? {ip: address.slice(0, separator), port} : undefined;
}
