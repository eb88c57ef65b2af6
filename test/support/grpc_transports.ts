/** Creates gRPC transports on loopback and closes them after each test. */
import {afterEach} from 'vitest';
import type {PeerHandlers, Transport} from '../../src/types/transport.js';
import {createProcessClock} from '../../src/utils/clock.js';
import type {TlsOptions} from '../../src/wire/credentials.js';
import {createGrpcTransport} from '../../src/wire/grpc_transport.js';
import {createRecordedMetrics} from '../../standins/recording_runtime.js';

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Registers a close function. They run after the test in reverse order. */
export function closeAfterTest(close: () => Promise<void>): void {
  closers.push(close);
}

/** Creates a transport that is closed after the test. */
export function newTransport(
  metrics = createRecordedMetrics(),
  tls?: TlsOptions,
): Transport {
  const clock = createProcessClock();
  const transport = createGrpcTransport({clock, metrics, tls});
  closeAfterTest(() => transport.close());
  return transport;
}

/** Listens on a free loopback port until the test ends; returns the address. */
export async function listen(
  handlers: PeerHandlers,
  transport = newTransport(),
): Promise<string> {
  const listener = await transport.listen('127.0.0.1:0', handlers);
  closeAfterTest(() => listener.close());
  return listener.address;
}
