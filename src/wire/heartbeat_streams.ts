/**
 * Which calls go over a kept stream rather than each as a call of its own.
 * Heartbeats come for ever: the headers of a call for each cost more bytes and
 * processor time than what they say. docs/CAPACITY.md has the figures.
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

/** A streamed method's path and the fields of its messages. */
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

/** Field order is part of the wire form: deltas name fields by position. */
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

export function isStreamed(method: PeerMethod): method is StreamedMethod {
  return method in STREAMED_CALLS;
}

const {requestSerialize, requestDeserialize} = wireMethod('SideHeartbeats');

/** Codec of the stream's own messages, in both directions. */
export const DELTA_CODEC: Codec<Delta> = {
  encode: delta => requestSerialize(delta as unknown as WireMessage),
  decode: bytes => requestDeserialize(bytes) as unknown as Delta,
};
