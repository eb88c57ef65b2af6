/** The loopback ports that fleets are given. */
import {describe, expect, test} from 'vitest';
import {freeAddresses} from '../demo/free_addresses.js';

/** All that the first block has, and then some. */
const MANY = 150;
const FIRST_BLOCK = 0;

/** What `fetch` says of a port, whether or not anyone listens there. */
async function faultOf(address: string): Promise<string> {
  try {
    await fetch(`http://${address}/`);
    return 'none';
  } catch (err) {
    return String((err as Error).cause);
  }
}

describe('the addresses of a fleet', () => {
  // An entry whose readiness check had one looked unready for good.
  test('have no port that fetch refuses to call', async () => {
    const addresses = await freeAddresses(MANY, FIRST_BLOCK);
    const faults = await Promise.all(addresses.map(faultOf));
    expect(faults.filter(fault => fault.includes('bad port'))).toEqual([]);
  });
});
