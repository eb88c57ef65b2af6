/** Unary calls between processes of one test, in virtual time. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OnyxError} from '../../src/types/errors.js';
import type {Address} from '../../src/types/ids.js';
import type {PeerCalls, PeerMethod} from '../../src/types/peer_messages.js';
import type {Clock} from '../../src/types/runtime.js';
import type {PeerHandlers, Transport} from '../../src/types/transport.js';

export interface PeerCallsNet {
  transport(self: Address): Transport;
  serve(address: Address, handlers: PeerHandlers): void;
  /** Calls to and from the address get no answer. */
  cut(address: Address): void;
  heal(address: Address): void;
}

/** Makes a network with one latency for all. */
export function createPeerCallsNet(clock: Clock, latencyMs = 1): PeerCallsNet {
  const served = new Map<Address, PeerHandlers>();
  const cuts = new Set<Address>();
  const sleep = (ms: number) =>
    new Promise<void>(resolve => void clock.after(ms, resolve));

  const call = async <M extends PeerMethod>(
    self: Address,
    peer: Address,
    method: M,
    req: PeerCalls[M]['req'],
    timeoutMs: number,
  ): Promise<Either<OnyxError, PeerCalls[M]['res']>> => {
    const handler = served.get(peer)?.[method] as
      ((req: PeerCalls[M]['req']) => Promise<PeerCalls[M]['res']>) | undefined;
    if (handler === undefined || cuts.has(self) || cuts.has(peer)) {
      await sleep(timeoutMs);
      return Left(
        new OnyxError({code: 'timeout', step: 'offer', peer, message: 'cut'}),
      );
    }
    await sleep(latencyMs);
    const res = await handler(structuredClone(req));
    await sleep(latencyMs);
    return Right(structuredClone(res));
  };

  return {
    transport: self => ({
      call: (peer, method, req, timeoutMs) =>
        call(self, peer, method, req, timeoutMs),
      openRun: () => {
        throw new Error('there are no runs here');
      },
      listen: () => Promise.reject(new Error('use serve')),
      close: () => Promise.resolve(),
    }),
    serve: (address, handlers) => void served.set(address, handlers),
    cut: address => void cuts.add(address),
    heal: address => void cuts.delete(address),
  };
}
