/**
 * Turns the contracts of `types/peer_messages.ts` into the messages of
 * `peers.proto` and back. Most fields go as they are; unions go as a oneof
 * named by their `kind`, and fields that are not set are left out again.
 */
import type {
  OfferRes,
  PeerCalls,
  PeerMethod,
  RunDown,
  RunUp,
  SideHeartbeatReq,
} from '../types/peer_messages.js';
import {packDispatchId, unpackDispatchId} from './packed_id.js';
import {wireMethod} from './proto_file.js';
import type {WireMessage, WireMethod} from './proto_file.js';

/** Message to bytes and back. */
export interface Codec<T> {
  readonly encode: (value: T) => Buffer;
  /** Throws on bytes that are no such message. */
  readonly decode: (bytes: Buffer) => T;
}

/** How one method goes over the wire. */
export interface MethodCodec<Req, Res> {
  /** Path of the method in grpc. */
  readonly path: string;
  readonly req: Codec<Req>;
  readonly res: Codec<Res>;
}

/** Codecs of all unary calls. */
export type CallCodecs = {
  readonly [M in PeerMethod]: MethodCodec<
    PeerCalls[M]['req'],
    PeerCalls[M]['res']
  >;
};

type PackedHeartbeat = WireMessage &
  Omit<SideHeartbeatReq, 'owned'> & {readonly owned: readonly Buffer[]};

interface Tagged {
  readonly kind: string;
}

/** Names of the oneof's fields by `kind`, where they differ. */
const FIELD_OF_KIND: Readonly<Record<string, string>> = {
  'prompt-end': 'promptEnd',
};
const KIND_OF_FIELD: Readonly<Record<string, string>> = {
  promptEnd: 'prompt-end',
};

/** Leaves out message fields that were not set, which come as null. */
function withoutUnset(message: WireMessage): WireMessage {
  const set = Object.entries(message).filter(([, value]) => value !== null);
  return Object.fromEntries(set);
}

function toUnion(value: Tagged): WireMessage {
  const {kind, ...fields} = value;
  return {[FIELD_OF_KIND[kind] ?? kind]: fields};
}

function fromUnion(message: WireMessage): WireMessage {
  const field = message['body'];
  if (typeof field !== 'string') throw new Error('message without a body');
  const fields = withoutUnset(message[field] as WireMessage);
  return {kind: KIND_OF_FIELD[field] ?? field, ...fields};
}

interface RawCodec {
  readonly serialize: (value: WireMessage) => Buffer;
  readonly deserialize: (bytes: Buffer) => WireMessage;
}

function plain<T>(raw: RawCodec): Codec<T> {
  return {
    encode: value => raw.serialize(value as WireMessage),
    decode: bytes => withoutUnset(raw.deserialize(bytes)) as T,
  };
}

function union<T extends Tagged>(raw: RawCodec): Codec<T> {
  return {
    encode: value => raw.serialize(toUnion(value)),
    decode: bytes => fromUnion(raw.deserialize(bytes)) as unknown as T,
  };
}

function reqOf(method: WireMethod): RawCodec {
  return {
    serialize: method.requestSerialize,
    deserialize: method.requestDeserialize as RawCodec['deserialize'],
  };
}

function resOf(method: WireMethod): RawCodec {
  return {
    serialize: method.responseSerialize,
    deserialize: method.responseDeserialize as RawCodec['deserialize'],
  };
}

function plainCall<M extends PeerMethod>(
  name: string,
): MethodCodec<PeerCalls[M]['req'], PeerCalls[M]['res']> {
  const method = wireMethod(name);
  return {
    path: method.path,
    req: plain(reqOf(method)),
    res: plain(resOf(method)),
  };
}

function offerCall(): CallCodecs['offer'] {
  const method = wireMethod('Offer');
  return {
    path: method.path,
    req: plain(reqOf(method)),
    res: union<OfferRes>(resOf(method)),
  };
}

function sideHeartbeatCall(): CallCodecs['sideHeartbeat'] {
  const call = plainCall<'sideHeartbeat'>('SideHeartbeat');
  const {serialize, deserialize} = reqOf(wireMethod('SideHeartbeat'));
  const encode = (req: SideHeartbeatReq): Buffer =>
    serialize({...req, owned: req.owned.map(packDispatchId)});
  const decode = (bytes: Buffer): SideHeartbeatReq => {
    const message = deserialize(bytes) as PackedHeartbeat;
    return {...message, owned: message.owned.map(unpackDispatchId)};
  };
  return {...call, req: {encode, decode}};
}

function runStream(): MethodCodec<RunUp, RunDown> {
  const method = wireMethod('Run');
  return {
    path: method.path,
    req: union<RunUp>(reqOf(method)),
    res: union<RunDown>(resOf(method)),
  };
}

/** Codecs of the calls by method. */
export const CALL_CODECS: CallCodecs = {
  offer: offerCall(),
  abandon: plainCall<'abandon'>('Abandon'),
  locate: plainCall<'locate'>('Locate'),
  sideHeartbeat: sideHeartbeatCall(),
  entryHeartbeat: plainCall<'entryHeartbeat'>('EntryHeartbeat'),
  fetchConfig: plainCall<'fetchConfig'>('FetchConfig'),
  grant: plainCall<'grant'>('Grant'),
  order: plainCall<'order'>('Order'),
};

/** Codec of a run's frames: `req` goes up to the side, `res` down. */
export const RUN_CODEC: MethodCodec<RunUp, RunDown> = runStream();
