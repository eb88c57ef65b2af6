/**
 * Defines the calls that share a long-lived stream instead of being unary
 * calls. Heartbeats are sent continuously. As unary calls, their headers would
 * cost more bytes and processor time than their content. docs/CAPACITY.md has
 * the figures.
 */
import type {
  EntryHeartbeatReq,
  PeerCalls,
  PeerMethod,
  SideHeartbeatReq,
  SideHeartbeatRes,
} from '../types/peer_messages.js';
import type {Codec} from './codec.js';
import type {Delta, FieldNames} from './delta.js';
import {wireMethod} from './proto_file.js';
import type {WireMessage} from './proto_file.js';

/** Methods whose calls share a stream. */
export type StreamedMethod = 'sideHeartbeat' | 'entryHeartbeat';

/** gRPC path of a streamed method and the field names of its messages. */
export interface StreamedCall<M extends StreamedMethod> {
  readonly path: string;
  readonly req: FieldNames<PeerCalls[M]['req']>;
  readonly res: FieldNames<PeerCalls[M]['res']>;
}

const SIDE_REQUEST_FIELDS: FieldNames<SideHeartbeatReq> = [
  'entry',
  'entryIncarnation',
  'entryAddress',
  'configNumber',
  'fence',
  'owned',
];

const SIDE_RESPONSE_FIELDS: FieldNames<SideHeartbeatRes> = [
  'node',
  'incarnation',
  'pool',
  'failureDomain',
  'leaving',
  'configNumber',
  'fence',
  'load',
  'models',
];

const ENTRY_FIELDS: FieldNames<EntryHeartbeatReq> = [
  'node',
  'incarnation',
  'address',
  'failureDomain',
  'leaving',
  'configNumber',
  'fence',
];

/**
 * Path and fields of each streamed method. The order of the fields is part of
 * the wire format, since deltas identify fields by position.
 */
export const STREAMED_CALLS: {
  readonly [M in StreamedMethod]: StreamedCall<M>;
} = {
  sideHeartbeat: {
    path: wireMethod('SideHeartbeats').path,
    req: SIDE_REQUEST_FIELDS,
    res: SIDE_RESPONSE_FIELDS,
  },
  entryHeartbeat: {
    path: wireMethod('EntryHeartbeats').path,
    req: ENTRY_FIELDS,
    res: ENTRY_FIELDS,
  },
};

/** Whether calls of a method share a stream instead of being unary calls. */
export function isStreamed(method: PeerMethod): method is StreamedMethod {
  return method in STREAMED_CALLS;
}

const {requestSerialize, requestDeserialize} = wireMethod('SideHeartbeats');

/** Codec of the deltas on a heartbeat stream, for both directions. */
export const DELTA_CODEC: Codec<Delta> = {
  encode: delta => requestSerialize(delta as unknown as WireMessage),
  decode: bytes => requestDeserialize(bytes) as unknown as Delta,
};
