/**
 * Converts the types of `types/peer_messages.ts` to the messages of
 * `peers.proto` and back. Most fields are encoded unchanged. A union becomes a
 * oneof whose field is named by the union's `kind`. Unset fields are removed
 * when a message is decoded.
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

/** Encodes and decodes messages of one type. */
export interface Codec<T> {
  readonly encode: (value: T) => Buffer;
  /** Throws if the bytes are not a message of this type. */
  readonly decode: (bytes: Buffer) => T;
}

/** Path and codecs of one method. */
export interface MethodCodec<Req, Res> {
  /** gRPC path of the method. */
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

/** A side heartbeat with its dispatch ids in packed form. */
type PackedHeartbeat = WireMessage &
  Omit<SideHeartbeatReq, 'owned'> & {readonly owned: readonly Buffer[]};

/** A member of a union whose members are distinguished by `kind`. */
interface TaggedUnion {
  readonly kind: string;
}

/** Field names in the oneof by `kind`, for kinds with a different name. */
const FIELD_OF_KIND: Readonly<Record<string, string>> = {
  'prompt-end': 'promptEnd',
};
const KIND_OF_FIELD: Readonly<Record<string, string>> = {
  promptEnd: 'prompt-end',
};

/** Removes unset message fields, which are decoded as null. */
function omitUnsetFields(message: WireMessage): WireMessage {
  const set = Object.entries(message).filter(([, value]) => value !== null);
  return Object.fromEntries(set);
}

function toUnion(value: TaggedUnion): WireMessage {
  const {kind, ...fields} = value;
  return {[FIELD_OF_KIND[kind] ?? kind]: fields};
}

function fromUnion(message: WireMessage): WireMessage {
  const field = message['body'];
  if (typeof field !== 'string') throw new Error('message without a body');
  const fields = omitUnsetFields(message[field] as WireMessage);
  return {kind: KIND_OF_FIELD[field] ?? field, ...fields};
}

/** Codec of a method's plain objects, as `proto-loader` provides it. */
interface RawCodec {
  readonly serialize: (value: WireMessage) => Buffer;
  readonly deserialize: (bytes: Buffer) => WireMessage;
}

function plainCodec<T>(raw: RawCodec): Codec<T> {
  return {
    encode: value => raw.serialize(value as WireMessage),
    decode: bytes => omitUnsetFields(raw.deserialize(bytes)) as T,
  };
}

function unionCodec<T extends TaggedUnion>(raw: RawCodec): Codec<T> {
  return {
    encode: value => raw.serialize(toUnion(value)),
    decode: bytes => fromUnion(raw.deserialize(bytes)) as unknown as T,
  };
}

function requestCodec(method: WireMethod): RawCodec {
  return {
    serialize: method.requestSerialize,
    deserialize: method.requestDeserialize as RawCodec['deserialize'],
  };
}

function responseCodec(method: WireMethod): RawCodec {
  return {
    serialize: method.responseSerialize,
    deserialize: method.responseDeserialize as RawCodec['deserialize'],
  };
}

function plainCallCodec<M extends PeerMethod>(
  name: string,
): MethodCodec<PeerCalls[M]['req'], PeerCalls[M]['res']> {
  const method = wireMethod(name);
  return {
    path: method.path,
    req: plainCodec(requestCodec(method)),
    res: plainCodec(responseCodec(method)),
  };
}

function offerCodec(): CallCodecs['offer'] {
  const method = wireMethod('Offer');
  return {
    path: method.path,
    req: plainCodec(requestCodec(method)),
    res: unionCodec<OfferRes>(responseCodec(method)),
  };
}

function sideHeartbeatCodec(): CallCodecs['sideHeartbeat'] {
  const call = plainCallCodec<'sideHeartbeat'>('SideHeartbeat');
  const {serialize, deserialize} = requestCodec(wireMethod('SideHeartbeat'));
  const encode = (req: SideHeartbeatReq): Buffer =>
    serialize({...req, owned: req.owned.map(packDispatchId)});
  const decode = (bytes: Buffer): SideHeartbeatReq => {
    const message = deserialize(bytes) as PackedHeartbeat;
    return {...message, owned: message.owned.map(unpackDispatchId)};
  };
  return {...call, req: {encode, decode}};
}

function runCodec(): MethodCodec<RunUp, RunDown> {
  const method = wireMethod('Run');
  return {
    path: method.path,
    req: unionCodec<RunUp>(requestCodec(method)),
    res: unionCodec<RunDown>(responseCodec(method)),
  };
}

/** Codecs of all calls, by method. */
export const CALL_CODECS: CallCodecs = {
  offer: offerCodec(),
  abandon: plainCallCodec<'abandon'>('Abandon'),
  locate: plainCallCodec<'locate'>('Locate'),
  sideHeartbeat: sideHeartbeatCodec(),
  entryHeartbeat: plainCallCodec<'entryHeartbeat'>('EntryHeartbeat'),
  fetchConfig: plainCallCodec<'fetchConfig'>('FetchConfig'),
  grant: plainCallCodec<'grant'>('Grant'),
  order: plainCallCodec<'order'>('Order'),
};

/** Codec of a run's frames. `req` is sent to the side, `res` to the entry. */
export const RUN_CODEC: MethodCodec<RunUp, RunDown> = runCodec();
