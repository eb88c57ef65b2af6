/**
 * Introduces this entry to peers (other entries) that it hears but does not
 * know, because their datagrams name them by a hash only. An entry that starts
 * while the store's records can't be read knows no peer. A peer that is sent
 * this entry's address finds a new incarnation, and answers with its own
 * address. Otherwise the address would come seconds later.
 */
import type {Clock} from '../../types/runtime.js';
import {createRecentMap} from '../../utils/recent_map.js';
import {LOAD_FORMAT} from './compact_load.js';
import type {DatagramSource} from './datagram_socket.js';
import type {Peer} from './peer_table.js';

/**
 * Shortest time between two introductions to the same address, in milliseconds.
 * Unknown peers under load send a hundred datagrams a second.
 */
const INTERVAL_MS = 300;
/** Most addresses that are remembered. The largest fleet has 370 entries. */
const MAX_ADDRESSES = 1_500;

/**
 * Returns a function to call with the source of each such datagram, all of which
 * are in the compact format. `introduce` sends this entry's address.
 */
export function createIntroductions(
  clock: Clock,
  introduce: (to: Peer) => void,
): (source: DatagramSource) => void {
  const introducedAt = createRecentMap<number>(MAX_ADDRESSES);
  return source => {
    const key = `${source.ip}:${source.port}`;
    const sinceMs = clock.now() - (introducedAt.get(key) ?? -Infinity);
    if (sinceMs < INTERVAL_MS) return;
    introduce({
      entry: {...source, node: '', incarnation: '', loadFormat: LOAD_FORMAT},
      heardAt: clock.now(),
      seq: 0,
      addressesSent: 0,
      addressSentAt: -Infinity,
    });
    introducedAt.set(key, clock.now());
  };
}
