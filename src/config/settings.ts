/**
 * Settings of one process: JSON with comments, read once at the start and
 * checked as a whole, so that a wrong file tells all its faults in one go and
 * nothing starts. A process learns its addresses, role and failure domain from
 * here only. `docs/settings.md` lists the options for operators.
 */
import {readFileSync} from 'node:fs';
import {Either, Left, Right} from 'purify-ts';
import type {
  Address,
  FailureDomain,
  HostId,
  NodeId,
  PoolId,
} from '../types/ids.js';
import type {EventSpec} from '../types/runtime.js';
import {optionRuleFaults} from './settings_rules.js';
import {settingsSchemaOf} from './settings_schema.js';
import {sortByLine, parseDocument, schemaFaults} from './settings_faults.js';
import type {SettingsFault} from './settings_faults.js';

export type {SettingsFault} from './settings_faults.js';

/** Settings of an entry or a side, told apart by `role`. */
export type Settings = EntrySettings | SideSettings;

/** Options that both roles have. */
export interface CommonSettings {
  /** Name of this process, unique in the deployment. */
  readonly node: NodeId;
  /** Name of the host it runs on, as in the platform's host list. */
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly advertise: AdvertiseSettings;
  readonly platform: PlatformSettings;
  /** Mutual TLS between the system's processes. @default none: plain TCP */
  readonly tls?: TlsSettings;
  readonly timing: TimingSettings;
  readonly limits: LimitSettings;
  readonly log: LogSettings;
}

/** An entry: callers and operators talk to it. */
export interface EntrySettings extends CommonSettings {
  readonly role: 'entry';
  readonly listen: EntryListenSettings;
  /** Salted hash of the operators' token; see `utils/keys.ts`. */
  readonly operatorTokenHash: string;
  readonly upstream?: undefined;
}

/** A side: stands beside one upstream and owns its capacity. */
export interface SideSettings extends CommonSettings {
  readonly role: 'side';
  readonly listen: SideListenSettings;
  readonly upstream: UpstreamSettings;
  /**
   * Salted hash of the operators' token; see `utils/keys.ts`.
   * @default none: status and drain are refused; health and metrics are shown
   */
  readonly operatorTokenHash?: string;
}

/** Where a side listens; port 0 takes a free port. */
export interface SideListenSettings {
  /** Operators' API of an entry; status, metrics and health of a side. */
  readonly operators: Address;
  /** The system's other processes. */
  readonly peers: Address;
  readonly callers?: undefined;
}

/** Where an entry listens; port 0 takes a free port. */
export interface EntryListenSettings extends Omit<
  SideListenSettings,
  'callers'
> {
  /** Callers, by way of the platform's balancer. */
  readonly callers: Address;
}

/** Addresses that others see, where they differ from `listen`. */
export interface AdvertiseSettings {
  /**
   * Address at which peers reach this process.
   * @default the value of `listen.peers`
   */
  readonly peers: Address;
}

/** Base URLs of what the platform gives. */
export interface PlatformSettings {
  readonly objectApi: string;
  readonly hostList: string;
  readonly weightStore: string;
}

/** What stands behind a side. */
export interface UpstreamSettings {
  /** A model engine, or a plain service. */
  readonly kind: 'engine' | 'service';
  readonly pool: PoolId;
  readonly url: string;
  /**
   * Whether the engine refuses an order with an old fencing number.
   * @default false
   */
  readonly refusesOldFence: boolean;
}

/** PEM files; all three are needed. */
export interface TlsSettings {
  readonly certFile: string;
  readonly keyFile: string;
  /** Certificates of the authority that peers' certificates must be from. */
  readonly caFile: string;
}

/** All in milliseconds. */
export interface TimingSettings {
  /** Period of heartbeats between processes. @default 1000 */
  readonly heartbeatMs: number;
  /** Silence after which a peer is suspect. @default 3000 */
  readonly suspectAfterMs: number;
  /**
   * How long a side keeps a run whose entry is silent before it cancels the
   * run and frees its memory.
   * @default 10000
   */
  readonly holdMs: number;
  /** An accepted offer lapses after this long without a go. @default 1000 */
  readonly offerLapseMs: number;
  /** How long the id of an ended dispatch is remembered. @default 120000 */
  readonly tombstoneMs: number;
  /** Silence on a run's channel before a new one is dialled. @default 3000 */
  readonly channelSilenceMs: number;
  /** Time limit of one call to a peer. @default 2000 */
  readonly peerTimeoutMs: number;
  /** Period of reading the host list. @default 2000 */
  readonly hostListPollMs: number;
  /** Longest wait for requests in progress at shutdown. @default 600000 */
  readonly drainMs: number;
}

/** Bounds on callers' requests and on this process. */
export interface LimitSettings {
  /** Largest body of a caller's request, in bytes. @default 8388608 */
  readonly maxBodyBytes: number;
  /** All header lines of a request together, in bytes. @default 16384 */
  readonly maxHeaderBytes: number;
  /** Time a caller has to send its body, in milliseconds. @default 30000 */
  readonly bodyTimeoutMs: number;
  /** Replicas that an entry follows by heartbeats. @default 24 */
  readonly followReplicas: number;
  /** Requests in progress at one entry. @default 4096 */
  readonly maxOpenRequests: number;
}

/** Logs go to standard output. */
export interface LogSettings {
  /** Least urgent level that is written. @default "info" */
  readonly level: EventSpec['level'];
}

/** Reads and checks a settings file. Left: all faults, by line. */
export function loadSettings(
  file: string,
): Either<readonly SettingsFault[], Settings> {
  return Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft(err => [createUnreadableFault(file, err)])
    .chain(text => parseSettings(text, file));
}

/** Checks the text of a settings file; `file` only names it in faults. */
export function parseSettings(
  text: string,
  file: string,
): Either<readonly SettingsFault[], Settings> {
  const document = parseDocument(text, file);
  const result = settingsSchemaOf(document.value).safeParse(document.value);
  const faults = [
    ...document.faults,
    ...(result.success ? [] : schemaFaults(document, result.error.issues)),
    ...optionRuleFaults(document),
  ];
  if (faults.length > 0) return Left(sortByLine(faults));
  return Right(result.data as Settings);
}

function createUnreadableFault(file: string, err: Error): SettingsFault {
  return {
    file,
    line: 0,
    option: '',
    message: `cannot be read: ${err.message}`,
    mend: 'give the path of a settings file that this process may read',
  };
}
