/**
 * Rules between options of a settings file. Each is checked on its own, also
 * when other options are wrong, so that all faults come at once; a rule whose
 * options are themselves wrong is left to the schema.
 */
import {
  LIMIT_DEFAULTS,
  TIMING_DEFAULTS,
  splitAddress,
} from './settings_schema.js';
import type {SettingsDocument, SettingsFault} from './settings_faults.js';

type Rule = (document: SettingsDocument) => readonly SettingsFault[];
type TimingName = keyof typeof TIMING_DEFAULTS;

/** Faults of the rules between options. */
export function crossFaults(
  document: SettingsDocument,
): readonly SettingsFault[] {
  return RULES.flatMap(rule => rule(document));
}

const RULES: readonly Rule[] = [
  // One lost heartbeat must not make a peer suspect.
  longer('suspectAfterMs', 'heartbeatMs', 1),
  // Runs must outlive two lost heartbeats of their entry, or a short stall
  // of the network would cancel work that is still wanted.
  longer('holdMs', 'heartbeatMs', 2),
  // An entry must dial anew before the side gives its run up.
  longer('holdMs', 'channelSilenceMs', 1),
  longer('channelSilenceMs', 'heartbeatMs', 1),
  // A copy of an offer or go may arrive until its sender gave up on it.
  longer('tombstoneMs', 'offerLapseMs', 2),
  longer('tombstoneMs', 'peerTimeoutMs', 2),
  bodyOverHeader,
  reachable,
  distinctAddresses,
  fenceOfService,
];

function longer(name: TimingName, than: TimingName, times: number): Rule {
  return document => {
    const value = timingOf(document, name);
    const other = timingOf(document, than);
    if (value === undefined || other === undefined) return [];
    if (value > times * other) return [];
    const factor = times === 1 ? '' : `${times} times `;
    return [
      fault(
        document,
        ['timing', name],
        `is ${value}, not over ${factor}timing.${than} (${other})`,
        `write more than ${times * other}, or lower timing.${than}`,
      ),
    ];
  };
}

function bodyOverHeader(document: SettingsDocument): readonly SettingsFault[] {
  const body = limitOf(document, 'maxBodyBytes');
  const header = limitOf(document, 'maxHeaderBytes');
  if (body === undefined || header === undefined || body >= header) return [];
  const message = `is ${body}, under limits.maxHeaderBytes (${header})`;
  const mend = `write at least ${header}, or lower limits.maxHeaderBytes`;
  return [fault(document, ['limits', 'maxBodyBytes'], message, mend)];
}

/** Peers cannot dial the wildcard address or port 0. */
function reachable(document: SettingsDocument): readonly SettingsFault[] {
  const advertised = addressAt(document, ['advertise', 'peers']);
  const wildcard = (ip: string) => ip === '0.0.0.0' || ip === '::';
  if (advertised !== undefined) {
    if (!wildcard(advertised.ip) && advertised.port !== 0) return [];
    const mend = 'write the IP and port at which peers reach this process';
    const message = 'cannot be dialled by peers';
    return [fault(document, ['advertise', 'peers'], message, mend)];
  }
  const listened = addressAt(document, ['listen', 'peers']);
  if (document.has(['advertise']) || listened === undefined) return [];
  if (!wildcard(listened.ip)) return [];
  const message = 'listens on all addresses, and none is advertised';
  const mend = 'write one IP, or add advertise.peers';
  return [fault(document, ['listen', 'peers'], message, mend)];
}

function distinctAddresses(
  document: SettingsDocument,
): readonly SettingsFault[] {
  const names = ['callers', 'operators', 'peers'];
  const seen = new Map<string, string>();
  return names.flatMap(name => {
    const parts = addressAt(document, ['listen', name]);
    if (parts === undefined || parts.port === 0) return [];
    const key = `${parts.ip} ${parts.port}`;
    const other = seen.get(key);
    seen.set(key, name);
    if (other === undefined) return [];
    const message = `is the address of listen.${other} too`;
    return [
      fault(document, ['listen', name], message, 'write another port here'),
    ];
  });
}

function fenceOfService(document: SettingsDocument): readonly SettingsFault[] {
  const kind = valueAt(document, ['upstream', 'kind']);
  const refuses = valueAt(document, ['upstream', 'refusesOldFence']);
  if (kind !== 'service' || refuses !== true) return [];
  const message = 'is true, but a plain service takes no orders';
  const mend = 'remove it, or set upstream.kind to "engine"';
  return [fault(document, ['upstream', 'refusesOldFence'], message, mend)];
}

function fault(
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
  return numberOr(valueAt(document, ['timing', name]), TIMING_DEFAULTS[name]);
}

function limitOf(
  document: SettingsDocument,
  name: keyof typeof LIMIT_DEFAULTS,
) {
  return numberOr(valueAt(document, ['limits', name]), LIMIT_DEFAULTS[name]);
}

/** The value, its default when it is left out, undefined when it is wrong. */
function numberOr(value: unknown, otherwise: number): number | undefined {
  if (value === undefined) return otherwise;
  return typeof value === 'number' ? value : undefined;
}
