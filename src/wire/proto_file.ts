/**
 * Loads `peers.proto`, so that no generator is needed. The compiler leaves the
 * file where it is, so the built program finds it in the source folder.
 */
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {loadSync} from '@grpc/proto-loader';
import type {MethodDefinition, ServiceDefinition} from '@grpc/proto-loader';

/** Beside this module, and as seen from the build's output folder. */
const CANDIDATE_PATHS = ['./peers.proto', '../../../src/wire/peers.proto'];

const SERVICE = 'onyxloft.Peer';

function findFile(): string {
  const paths = CANDIDATE_PATHS.map(candidate =>
    fileURLToPath(new URL(candidate, import.meta.url)),
  );
  const found = paths.find(path => existsSync(path));
  if (found !== undefined) return found;
  throw new Error(
    `peers.proto is at none of ${paths.join(', ')}; ` +
      'put it beside the built module or keep the source folder',
  );
}

/** Decoded messages are plain objects with the names of the contracts. */
const definitions = loadSync(findFile(), {
  arrays: true,
  defaults: true,
  keepCase: false,
  longs: Number,
  oneofs: true,
});

/** A message as `proto-loader` takes and gives it. */
export type WireMessage = Readonly<Record<string, unknown>>;

/** A grpc method with messages as plain objects. */
export type WireMethod = MethodDefinition<WireMessage, WireMessage>;

/** Definition of a method by its name in `peers.proto`. */
export function wireMethod(name: string): WireMethod {
  const service = definitions[SERVICE] as ServiceDefinition;
  return service[name] as WireMethod;
}
