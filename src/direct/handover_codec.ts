/**
 * Encodes and decodes what one entry hands to another: the newest configuration
 * and the replicas. The text may come from another version of the program, so a
 * text that is not valid in every part is rejected.
 */
import {
  Codec,
  array,
  boolean,
  exactly,
  nullable,
  number,
  oneOf,
  optional,
  string,
} from 'purify-ts/Codec';
import type {GetType} from 'purify-ts/Codec';
import {Left, Right} from 'purify-ts/Either';
import type {Either} from 'purify-ts/Either';
import {parseBoundedJson} from '../utils/bounded_json.js';
import {isHeaderText} from '../utils/header_text.js';
import {isReplicaAddress} from './followed/replica_address.js';
import type {DirectConfig, DirectReplica} from './types.js';

const routeCodec = Codec.interface({
  name: string,
  host: string,
  pathPrefix: string,
  kind: oneOf([
    exactly('idempotent'),
    exactly('once'),
    exactly('resumable-stream'),
  ]),
  streaming: boolean,
  targets: array(Codec.interface({service: string, weight: number})),
  timeLimitMs: number,
  aimMs: number,
  /**
   * Null encodes the absence of a limit, since JSON has no number for infinity.
   */
  pauseAimMs: nullable(number),
  priority: number,
  maxAttempts: number,
  isPublic: boolean,
});

const engineCodec = Codec.interface({
  places: number,
  memoryTokens: number,
  stepsPerPass: number,
  stepMs: number,
  stepMsPerWriter: number,
  readTokensPerMs: number,
  pairsMsPerMillion: number,
  /** Null encodes the absence of a limit. */
  chunkTokens: nullable(number),
  contextMsPerThousand: number,
});

const keyCodec = Codec.interface({
  key: string,
  organisation: string,
  priority: optional(number),
});

const configCodec = Codec.interface({
  version: number,
  routes: array(routeCodec),
  services: array(
    Codec.interface({
      name: string,
      engine: optional(engineCodec),
      /** Undefined also from entries of earlier versions. */
      coldStart: optional(
        Codec.interface({durationMs: number, perSecond: number}),
      ),
    }),
  ),
  /** Null where requests carry no keys. */
  keys: nullable(array(keyCodec)),
  limits: Codec.interface({
    maxHeaderBytes: number,
    maxBodyBytes: number,
    headersTimeoutMs: number,
    idleTimeoutMs: number,
  }),
});

const replicasCodec = array(
  Codec.interface({
    id: string,
    name: string,
    startedAt: optional(number),
    service: string,
    address: string,
    failureDomain: string,
    places: number,
    leaving: boolean,
  }),
);

const evacuationsCodec = array(string);

type PackedConfig = GetType<typeof configCodec>;

export function encodeConfig({keys, services, ...rest}: DirectConfig): string {
  const packed = {
    ...rest,
    services: [...services.values()],
    keys: keys && [...keys].map(([key, owner]) => ({key, ...owner})),
  };
  return JSON.stringify({...packed, keys: packed.keys ?? null});
}

export function decodeHandoverConfig(
  text: string,
): Either<string, DirectConfig> {
  return parseBoundedJson(text)
    .chain(value => configCodec.decode(value))
    .map(unpackConfig);
}

export function encodeReplicas(
  replicas: ReadonlyMap<string, DirectReplica>,
): string {
  return JSON.stringify([...replicas.values()]);
}

/** Returns the replicas by name. */
export function decodeReplicas(
  text: string,
): Either<string, ReadonlyMap<string, DirectReplica>> {
  return parseBoundedJson(text)
    .chain(value => replicasCodec.decode(value))
    .chain(replicas =>
      replicas.every(isUsable) ? Right(replicas) : Left('invalid replica'),
    )
    .map(
      replicas =>
        new Map(
          replicas.map(it => [it.name, {...it, startedAt: it.startedAt}]),
        ),
    );
}

/** Whether a request can be sent to the replica by its record. */
function isUsable({
  name,
  address,
}: Pick<DirectReplica, 'name' | 'address'>): boolean {
  return isHeaderText(name) && isReplicaAddress(address);
}

export function encodeEvacuations(domains: ReadonlySet<string>): string {
  return JSON.stringify([...domains]);
}

/** Returns the evacuated failure domains. */
export function decodeEvacuations(
  text: string,
): Either<string, ReadonlySet<string>> {
  return parseBoundedJson(text)
    .chain(value => evacuationsCodec.decode(value))
    .map(domains => new Set(domains));
}

function unpackConfig({
  version,
  routes,
  services,
  keys,
  limits,
}: PackedConfig): DirectConfig {
  return {
    version,
    routes: routes.map(route => ({
      ...route,
      pauseAimMs: route.pauseAimMs ?? Infinity,
    })),
    services: new Map(
      services.map(({name, engine, coldStart}) => [
        name,
        {
          name,
          engine: engine && {
            ...engine,
            chunkTokens: engine.chunkTokens ?? Infinity,
          },
          coldStart,
        },
      ]),
    ),
    keys:
      keys === null
        ? undefined
        : new Map(
            keys.map(({key, organisation, priority}) => [
              key,
              {organisation, priority},
            ]),
          ),
    limits,
  };
}
