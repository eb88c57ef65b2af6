/** Datagrams between entries, on real sockets. */
import {createSocket} from 'node:dgram';
import {Right} from 'purify-ts';
import {afterEach, describe, expect, test} from 'vitest';
import {freeAddresses} from '../../demo/free_addresses.js';
import {encodeDatagram} from '../../src/direct/datagrams.js';
import {createSharing} from '../../src/direct/sharing.js';
import type {DirectStore, EntryAddress} from '../../src/direct/types.js';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {until} from '../support/direct_fleet.js';

let kernel: Kernel;
afterEach(() => kernel.stop());

function entryAt(node: string, address: string): EntryAddress {
  const [ip, port] = address.split(':');
  return {node, incarnation: 'i', ip, port: Number(port)};
}

const store = {
  listEntries: async () => Right([]),
  announceEntry: async () => Right(undefined),
} as unknown as DirectStore;

describe('an entry that is queried while it starts', () => {
  // The other entry knows this one from before its restart, and sends a query
  // before it can be answered.
  test('logs that it could not answer, and keeps running', async () => {
    const [own, other] = await freeAddresses(2);
    const self = entryAt('entry-1', own);
    const recorded = createRecordingRuntime();
    kernel = createKernel({...recorded.runtime, clock: createProcessClock()});
    await kernel.start(createSharing({self, store}));
    const socket = createSocket('udp4');
    const from = entryAt('entry-2', other);
    const question = encodeDatagram({kind: 'ask', from, question: 1});
    socket.send(question, self.port, self.ip);
    const failures = () => recorded.eventsOf(DIRECT_EVENTS.handoverFailed);
    await until(() => failures().length > 0);
    socket.close();
    expect(failures()[0].fields).toMatchObject({step: 'answer an entry'});
  });
});
