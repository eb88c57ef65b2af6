/**
 * Loads `peers.proto` at run time, so that no code generator is needed. The
 * compiler does not copy the file, so the built program loads it from the
 * source folder.
 */
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {loadSync} from '@grpc/proto-loader';
import type {MethodDefinition, ServiceDefinition} from '@grpc/proto-loader';

/** Paths relative to this module: in the source and in the build folder. */
const CANDIDATE_PATHS = ['./peers.proto', '../../../src/wire/peers.proto'];

const SERVICE = 'onyxloft.Peer';

function findFile(): string {
  const paths = CANDIDATE_PATHS.map(candidate =>
    fileURLToPath(new URL(candidate, import.meta.url)),
  );
  const found = paths.find(path => existsSync(path));
  if (found !== undefined) return found;
  throw new Error(
    `peers.proto was not found at any of ${paths.join(', ')}; ` +
      'put it next to the built module or keep the source folder',
  );
}

/** Decodes messages to plain objects with the names in `peer_messages.ts`. */
const definitions = loadSync(findFile(), {
  arrays: true,
  defaults: true,
  keepCase: false,
  longs: Number,
  oneofs: true,
});

/** A message as `proto-loader` encodes and decodes it. */
export type WireMessage = Readonly<Record<string, unknown>>;

/** A gRPC method whose messages are plain objects. */
export type WireMethod = MethodDefinition<WireMessage, WireMessage>;

/** Returns the definition of a method by its name in `peers.proto`. */
export function wireMethod(name: string): WireMethod {
  const service = definitions[SERVICE] as ServiceDefinition;
  return service[name] as WireMethod;
}
