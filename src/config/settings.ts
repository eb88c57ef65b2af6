/**
 * Settings of one process, in a file of JSON with comments. The file is read
 * once at the start and validated as a whole. A file with faults has all of
 * them reported at once, and the process does not start. The settings are the
 * only source of the process's addresses, role and failure domain.
 * `docs/settings.md` lists the options for operators.
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

/** Settings of an entry or a side, distinguished by `role`. */
export type Settings = EntrySettings | SideSettings;

/** Options of both roles. */
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

/** Settings of an entry, which serves callers and operators. */
export interface EntrySettings extends CommonSettings {
  readonly role: 'entry';
  readonly listen: EntryListenSettings;
  /** Salted hash of the operators' token; see `utils/keys.ts`. */
  readonly operatorTokenHash: string;
  readonly upstream?: undefined;
}

/** Settings of a side, which manages the capacity of one upstream. */
export interface SideSettings extends CommonSettings {
  readonly role: 'side';
  readonly listen: SideListenSettings;
  readonly upstream: UpstreamSettings;
  /**
   * Salted hash of the operators' token; see `utils/keys.ts`.
   * @default none: status and drain are refused; health and metrics are public
   */
  readonly operatorTokenHash?: string;
}

/** Addresses on which a side listens. Port 0 selects a free port. */
export interface SideListenSettings {
  /** An entry's operators' API, or a side's status, metrics and health. */
  readonly operators: Address;
  /** Calls from the system's other processes. */
  readonly peers: Address;
  readonly callers?: undefined;
}

/** Addresses on which an entry listens. Port 0 selects a free port. */
export interface EntryListenSettings extends Omit<
  SideListenSettings,
  'callers'
> {
  /** Callers' requests, which arrive through the platform's load balancer. */
  readonly callers: Address;
}

/** Addresses that other processes use, if they differ from `listen`. */
export interface AdvertiseSettings {
  /**
   * Address at which peers reach this process.
   * @default the value of `listen.peers`
   */
  readonly peers: Address;
}

/** Base URLs of the platform's services. */
export interface PlatformSettings {
  readonly objectApi: string;
  readonly hostList: string;
  readonly weightStore: string;
}

/** The upstream of a side. */
export interface UpstreamSettings {
  /** A model engine, or a plain HTTP service. */
  readonly kind: 'engine' | 'service';
  readonly pool: PoolId;
  readonly url: string;
  /**
   * Whether the engine refuses an order with an outdated fencing number.
   * @default false
   */
  readonly refusesOldFence: boolean;
}

/** Paths of PEM files. All three are required. */
export interface TlsSettings {
  readonly certFile: string;
  readonly keyFile: string;
  /** Certificates of the authority that must have signed peers' certificates. */
  readonly caFile: string;
}

/** Intervals and timeouts, in milliseconds. */
export interface TimingSettings {
  /** Interval of heartbeats between processes. @default 1000 */
  readonly heartbeatMs: number;
  /** Time without a heartbeat after which a peer is suspect. @default 3000 */
  readonly suspectAfterMs: number;
  /**
   * Time for which a side keeps a run whose entry is silent. The side then
   * cancels the run and frees its memory.
   * @default 10000
   */
  readonly holdMs: number;
  /** Time after which an accepted offer without a go expires. @default 1000 */
  readonly offerLapseMs: number;
  /** Time for which the id of an ended dispatch is kept. @default 120000 */
  readonly tombstoneMs: number;
  /** Silence on a run's channel before a new one is opened. @default 3000 */
  readonly channelSilenceMs: number;
  /** Time limit of one call to a peer. @default 2000 */
  readonly peerTimeoutMs: number;
  /** Interval at which the host list is read. @default 2000 */
  readonly hostListPollMs: number;
  /** Longest wait for requests in progress at shutdown. @default 600000 */
  readonly drainMs: number;
}

/** Limits on callers' requests and on this process. */
export interface LimitSettings {
  /** Largest body of a caller's request, in bytes. @default 8388608 */
  readonly maxBodyBytes: number;
  /** Limit on all header lines of a request together, in bytes. @default 16384 */
  readonly maxHeaderBytes: number;
  /** Time limit for receiving a body, in milliseconds. @default 30000 */
  readonly bodyTimeoutMs: number;
  /** Number of replicas that an entry follows by heartbeats. @default 24 */
  readonly followReplicas: number;
  /** Limit on requests in progress at one entry. @default 4096 */
  readonly maxOpenRequests: number;
}

/** Options of the log, which is written to standard output. */
export interface LogSettings {
  /** Least urgent level that is written. @default "info" */
  readonly level: EventSpec['level'];
}

/** Reads and validates a settings file. A Left holds all faults, by line. */
export function loadSettings(
  file: string,
): Either<readonly SettingsFault[], Settings> {
  return Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft(err => [createUnreadableFault(file, err)])
    .chain(text => parseSettings(text, file));
}

/** Validates the text of a settings file. `file` is its name in faults. */
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
