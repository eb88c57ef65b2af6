/**
 * Holds the newest configuration that this process has seen. A configuration
 * from the store, a peer or an operator's patch is adopted only when its number
 * is higher than the current one. So a late watch reply or a stale read cannot
 * put old declarations back into force.
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

/** Where a configuration came from. Written to the log and the metrics. */
export type ConfigSource = 'store' | 'peer' | 'patch';

/** An accepted configuration: its manifest, declarations and documents. */
export interface AcceptedConfig {
  readonly manifest: Manifest;
  readonly declarations: Declarations;
  /** JSON text of each document of the manifest, by its hash. */
  readonly jsonByHash: ReadonlyMap<string, string>;
}

/** Called with each configuration that comes into force, in growing order. */
export type ConfigListener = (config: NumberedDeclarations) => void;

/** The configuration that this process holds. Its number never decreases. */
export interface ConfigState {
  /** Number of the current configuration; 0 before the first patch. */
  number(): ConfigNumber;
  /**
   * The newest accepted configuration. Undefined before the first patch, and
   * while no configuration has reached this process.
   */
  current(): AcceptedConfig | undefined;
  /**
   * The declarations in force, which before the first patch are the initial
   * ones. Undefined while no configuration has reached this process.
   */
  inForce(): NumberedDeclarations | undefined;
  /** Adopts the configuration if its number is higher. Returns whether it was. */
  adoptIfNewer(config: AcceptedConfig, source: ConfigSource): boolean;
  /** Logs and counts that `source` gave a lower number than the one in force. */
  reportOlder(offered: ConfigNumber, source: ConfigSource): void;
  /**
   * Puts the initial declarations into force as number 0, unless a
   * configuration is in force. Called when the store holds no head.
   */
  adoptInitial(initial: Declarations): void;
  /** JSON text by hash of the documents of the current and the previous number. */
  knownDocuments(): ReadonlyMap<string, string>;
  /**
   * Calls the listener at once if a configuration is in force, and for each new
   * number. Subscribing a listener again does not register it twice.
   */
  subscribe(listener: ConfigListener): void;
}

/** Creates the state, without a configuration. */
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
    // `adoptIfNewer` compares the numbers already. This check finds a code path
    // without that comparison, which could put a revoked key or an old limit
    // back into force unnoticed.
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

  /**
   * Checks that a number stands for one patch only. Two patches with the same
   * number mean that the store lost a write.
   */
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

/**
 * Builds a configuration from its manifest and documents. Returns a Left when a
 * document is missing or unreadable.
 */
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
