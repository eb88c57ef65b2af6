/**
 * A small network on the virtual clock for tests that script one peer: calls
 * and channels with a latency, and the faults that those tests switch.
 */
import {Left, Right} from 'purify-ts';
import {OnyxError} from '../../src/types/errors.js';
import type {ErrorCode} from '../../src/types/errors.js';
import type {Address} from '../../src/types/ids.js';
import type {Clock} from '../../src/types/runtime.js';
import type {
  Channel,
  PeerHandlers,
  Transport,
} from '../../src/types/transport.js';
import {createMailbox} from '../../src/kernel/mailbox.js';

const LATENCY_MS = 1;

export interface ScriptedNetwork {
  readonly transport: Transport;
  /** Calls to it hang until their timeout; frames are lost. */
  readonly frozen: Set<Address>;
  /** Connections to it are refused. */
  readonly down: Set<Address>;
  /** Frames on channels open now are lost for good; new ones work. */
  silence(peer: Address): void;
  /** Closes all channels to the peer. */
  cut(peer: Address): void;
}

interface Link {
  readonly peer: Address;
  silent: boolean;
  close(): void;
}

export function createScriptedNetwork(clock: Clock): ScriptedNetwork {
  const listeners = new Map<Address, PeerHandlers>();
  const frozen = new Set<Address>();
  const down = new Set<Address>();
  const links = new Set<Link>();

  const failed = (peer: Address, code: ErrorCode) =>
    Left(new OnyxError({code, step: 'offer', peer, message: code}));

  const isDown = (peer: Address) => down.has(peer) || !listeners.has(peer);

  const call: Transport['call'] = (peer, method, req, timeoutMs) =>
    new Promise(resolve => {
      if (isDown(peer)) {
        clock.after(LATENCY_MS, () =>
          resolve(failed(peer, 'peer-unreachable')),
        );
        return;
      }
      const cancel = clock.after(timeoutMs, () =>
        resolve(failed(peer, 'timeout')),
      );
      clock.after(LATENCY_MS, async () => {
        const handler = listeners.get(peer)?.[method];
        if (frozen.has(peer) || handler === undefined) return;
        const res = await handler(req as never);
        clock.after(LATENCY_MS, () => {
          cancel();
          resolve(Right(res) as never);
        });
      });
    });

  /** Two ends whose frames arrive at the other after the latency. */
  const openRun: Transport['openRun'] = peer => {
    const up = createMailbox<never>();
    const down_ = createMailbox<never>();
    const link: Link = {
      peer,
      silent: false,
      close: () => {
        links.delete(link);
        up.close();
        down_.close();
      },
    };
    links.add(link);
    const end = <Out, In>(
      out: {push(frame: Out): void},
      frames: Channel<Out, In>['frames'],
    ): Channel<Out, In> => ({
      frames,
      send: frame => {
        clock.after(LATENCY_MS, () => {
          if (!link.silent && !frozen.has(peer)) out.push(frame);
        });
        return Promise.resolve();
      },
      close: () => clock.after(LATENCY_MS, link.close),
    });
    const handler = listeners.get(peer)?.run;
    if (isDown(peer) || handler === undefined) {
      clock.after(LATENCY_MS, link.close);
    } else {
      handler(end(down_, up.stream));
    }
    return end(up, down_.stream);
  };

  const eachLink = (peer: Address, change: (link: Link) => void) => {
    for (const link of [...links]) {
      if (link.peer === peer) change(link);
    }
  };

  return {
    transport: {
      call,
      openRun,
      listen: (address, handlers) => {
        listeners.set(address, handlers);
        const close = () => {
          listeners.delete(address);
          return Promise.resolve();
        };
        return Promise.resolve({address, close});
      },
      close: () => Promise.resolve(),
    },
    frozen,
    down,
    silence: peer =>
      eachLink(peer, link => {
        link.silent = true;
      }),
    cut: peer => eachLink(peer, link => link.close()),
  };
}
