/**
 * Rules between options of a settings file. Each rule is checked independently,
 * even if other options have faults, so that all faults are reported at once. A
 * rule is skipped when its own options have the wrong type, which the schema
 * reports.
 */
import {
  LIMIT_DEFAULTS,
  TIMING_DEFAULTS,
  splitAddress,
} from './settings_schema.js';
import type {SettingsDocument, SettingsFault} from './settings_faults.js';

/** Returns the faults of a document against one rule. */
type Rule = (document: SettingsDocument) => readonly SettingsFault[];
type TimingName = keyof typeof TIMING_DEFAULTS;

/** Returns the faults of a document against all rules between options. */
export function optionRuleFaults(
  document: SettingsDocument,
): readonly SettingsFault[] {
  return OPTION_RULES.flatMap(rule => rule(document));
}

const OPTION_RULES: readonly Rule[] = [
  // One lost heartbeat must not make a peer suspect.
  mustExceed('suspectAfterMs', 'heartbeatMs', 1),
  // A run must outlive two lost heartbeats of its entry. Otherwise, a short
  // stall of the network would cancel a run whose caller still waits.
  mustExceed('holdMs', 'heartbeatMs', 2),
  // An entry must open a new channel before the side cancels its run.
  mustExceed('holdMs', 'channelSilenceMs', 1),
  mustExceed('channelSilenceMs', 'heartbeatMs', 1),
  // A duplicate of an offer or go may arrive until its sender has given up.
  mustExceed('tombstoneMs', 'offerLapseMs', 2),
  mustExceed('tombstoneMs', 'peerTimeoutMs', 2),
  checkBodyLimit,
  checkPeersAddress,
  checkDistinctAddresses,
  checkFenceOption,
];

/** Rule: a timing option must be more than `times` times another one. */
function mustExceed(name: TimingName, than: TimingName, times: number): Rule {
  return document => {
    const value = timingOf(document, name);
    const other = timingOf(document, than);
    if (value === undefined || other === undefined) return [];
    if (value > times * other) return [];
    const factor = times === 1 ? '' : `${times} times `;
    return [
      createFault(
        document,
        ['timing', name],
        `is ${value}, not over ${factor}timing.${than} (${other})`,
        `write more than ${times * other}, or lower timing.${than}`,
      ),
    ];
  };
}

function checkBodyLimit(document: SettingsDocument): readonly SettingsFault[] {
  const body = limitOf(document, 'maxBodyBytes');
  const header = limitOf(document, 'maxHeaderBytes');
  if (body === undefined || header === undefined || body >= header) return [];
  const message = `is ${body}, under limits.maxHeaderBytes (${header})`;
  const mend = `write at least ${header}, or lower limits.maxHeaderBytes`;
  return [createFault(document, ['limits', 'maxBodyBytes'], message, mend)];
}

/** Rule: peers cannot connect to a wildcard IP or to port 0. */
function checkPeersAddress(
  document: SettingsDocument,
): readonly SettingsFault[] {
  const advertised = addressAt(document, ['advertise', 'peers']);
  const isWildcard = (ip: string) => ip === '0.0.0.0' || ip === '::';
  if (advertised !== undefined) {
    if (!isWildcard(advertised.ip) && advertised.port !== 0) return [];
    const mend = 'write the IP and port at which peers reach this process';
    const message = 'cannot be dialled by peers';
    return [createFault(document, ['advertise', 'peers'], message, mend)];
  }
  const listened = addressAt(document, ['listen', 'peers']);
  if (document.has(['advertise']) || listened === undefined) return [];
  if (!isWildcard(listened.ip)) return [];
  const message = 'listens on all addresses, and none is advertised';
  const mend = 'write one IP, or add advertise.peers';
  return [createFault(document, ['listen', 'peers'], message, mend)];
}

function checkDistinctAddresses(
  document: SettingsDocument,
): readonly SettingsFault[] {
  const listenNames = ['callers', 'operators', 'peers'];
  const seen = new Map<string, string>();
  return listenNames.flatMap(name => {
    const parts = addressAt(document, ['listen', name]);
    if (parts === undefined || parts.port === 0) return [];
    const key = `${parts.ip} ${parts.port}`;
    const other = seen.get(key);
    seen.set(key, name);
    if (other === undefined) return [];
    const message = `is the address of listen.${other} too`;
    return [
      createFault(
        document,
        ['listen', name],
        message,
        'write another port here',
      ),
    ];
  });
}

function checkFenceOption(
  document: SettingsDocument,
): readonly SettingsFault[] {
  const kind = valueAt(document, ['upstream', 'kind']);
  const refusesOldFence = valueAt(document, ['upstream', 'refusesOldFence']);
  if (kind !== 'service' || refusesOldFence !== true) return [];
  const message = 'is true, but a plain service takes no orders';
  const mend = 'remove it, or set upstream.kind to "engine"';
  return [
    createFault(document, ['upstream', 'refusesOldFence'], message, mend),
  ];
}

function createFault(
  document: SettingsDocument,
  path: readonly string[],
  message: string,
  mend: string,
): SettingsFault {
  const line = document.lineOf(path);
  return {file: document.file, line, option: path.join('.'), message, mend};
}

function valueAt(document: SettingsDocument, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Readonly<Record<string, unknown>>)[key]
        : undefined,
    document.value,
  );
}

function addressAt(document: SettingsDocument, path: readonly string[]) {
  const value = valueAt(document, path);
  return typeof value === 'string' ? splitAddress(value) : undefined;
}

function timingOf(document: SettingsDocument, name: TimingName) {
  return numberOrDefault(
    valueAt(document, ['timing', name]),
    TIMING_DEFAULTS[name],
  );
}

function limitOf(
  document: SettingsDocument,
  name: keyof typeof LIMIT_DEFAULTS,
) {
  return numberOrDefault(
    valueAt(document, ['limits', name]),
    LIMIT_DEFAULTS[name],
  );
}

/**
 * Returns the value if it is a number, the default if the option is absent, and
 * undefined if the value has another type.
 */
function numberOrDefault(
  value: unknown,
  defaultValue: number,
): number | undefined {
  if (value === undefined) return defaultValue;
  return typeof value === 'number' ? value : undefined;
}
