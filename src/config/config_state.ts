/**
 * The newest configuration that this process has seen. Whatever offers one,
 * the store, a peer or an operator's patch, it is taken only when its number
 * is higher: a late watch or a stale read cannot bring old rules back.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Declarations, NumberedDeclarations} from '../types/config.js';
import {OnyxError} from '../types/errors.js';
import type {ConfigNumber} from '../types/ids.js';
import type {Runtime} from '../types/runtime.js';
import {CONFIG_EVENTS} from '../utils/events.js';
import {joinDocuments} from './documents.js';
import type {Manifest} from './documents.js';

/** Where a configuration came from, for the log. */
export type ConfigSource = 'store' | 'peer' | 'patch';

/** A number with all that it consists of. */
export interface AcceptedConfig {
  readonly manifest: Manifest;
  readonly declarations: Declarations;
  readonly jsonByHash: ReadonlyMap<string, string>;
}

/** Called with each number that comes into force, in growing order. */
export type ConfigListener = (config: NumberedDeclarations) => void;

/** The configuration that this process holds; its number only grows. */
export interface ConfigState {
  /** The highest number taken; 0 before the first patch. */
  number(): ConfigNumber;
  /** Undefined before the first patch, or while nothing is known. */
  current(): AcceptedConfig | undefined;
  /** What is in force; undefined while nothing is known. */
  inForce(): NumberedDeclarations | undefined;
  /** Takes the configuration if it is newer. True when it was. */
  adoptIfNewer(config: AcceptedConfig, source: ConfigSource): boolean;
  /** Counts and logs a number that is older than the one in force. */
  reportOlder(offered: ConfigNumber, source: ConfigSource): void;
  /** The store was read and holds no head: number 0 is in force. */
  adoptInitial(initial: Declarations): void;
  /** Documents at hand, of the number in force and the one before. */
  knownDocuments(): ReadonlyMap<string, string>;
  /** Calls it at once and at each number; a known one is kept once. */
  subscribe(listener: ConfigListener): void;
}

/** Starts without a configuration. */
export function createConfigState(
  runtime: () => Pick<Runtime, 'log' | 'metrics' | 'invariant'>,
): ConfigState {
  const listeners = new Set<ConfigListener>();
  let current: AcceptedConfig | undefined;
  let previous: AcceptedConfig | undefined;
  let inForce: NumberedDeclarations | undefined;

  const number = () => current?.manifest.number ?? 0;

  const reportOlder = (offered: ConfigNumber, source: ConfigSource) => {
    const fields = {offered, inForce: number(), source};
    runtime().log(CONFIG_EVENTS.olderOffered, fields);
    runtime().metrics.count('onyxloft_config_older_offered_total', {source});
  };

  const setInForce = (next: NumberedDeclarations) => {
    // The safeguard is the comparison in `offer`; a path that goes round it
    // would let a revoked key or an old limit come back without a trace.
    runtime().invariant(
      next.number >= (inForce?.number ?? 0),
      'config-never-backwards',
      {from: inForce?.number, to: next.number},
    );
    inForce = next;
    runtime().metrics.gauge('onyxloft_config_number', {}, next.number);
    for (const listener of listeners) listener(next);
  };

  const adoptIfNewer = (config: AcceptedConfig, source: ConfigSource) => {
    const {manifest, declarations} = config;
    if (manifest.number < number()) reportOlder(manifest.number, source);
    if (manifest.number === number()) checkSamePatch(manifest);
    if (manifest.number <= number()) return false;
    previous = current;
    current = config;
    runtime().log(CONFIG_EVENTS.adopted, {
      number: manifest.number,
      patchId: manifest.patchId,
      operator: manifest.operator,
      source,
    });
    setInForce({number: manifest.number, declarations});
    return true;
  };

  /** One number is one patch; two would mean a store that lost a write. */
  const checkSamePatch = (manifest: Manifest) => {
    runtime().invariant(
      manifest.patchId === current?.manifest.patchId,
      'config-number-is-one-patch',
      {
        number: manifest.number,
        inForce: current?.manifest.patchId,
        offered: manifest.patchId,
      },
    );
  };

  return {
    number,
    current: () => current,
    inForce: () => inForce,
    adoptIfNewer,
    reportOlder,
    adoptInitial: initial => {
      if (inForce !== undefined) return;
      setInForce({number: 0, declarations: initial});
    },
    knownDocuments: () =>
      new Map([
        ...(previous?.jsonByHash ?? []),
        ...(current?.jsonByHash ?? []),
      ]),
    subscribe: listener => {
      listeners.add(listener);
      if (inForce !== undefined) listener(inForce);
    },
  };
}

/** Puts a configuration together. Left: a document is missing or unreadable. */
export function assembleConfig(
  manifest: Manifest,
  known: ReadonlyMap<string, string>,
): Either<OnyxError, AcceptedConfig> {
  try {
    const declarations = joinDocuments(manifest, known);
    const jsonByHash = new Map(
      manifest.documents.map(({hash}) => [hash, known.get(hash) ?? '']),
    );
    return Right({manifest, declarations, jsonByHash});
  } catch (err) {
    return Left(
      new OnyxError({
        code: 'internal',
        step: 'config',
        message: `number ${manifest.number} cannot be read: ${String(err)}`,
      }),
    );
  }
}
