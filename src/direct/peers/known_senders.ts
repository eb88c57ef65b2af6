/**
 * Addresses of entries by the hashes that stand for them in compact datagrams.
 * A datagram with a known hash is handled as if it contained the address.
 *
 * The addresses of removed entries and of earlier incarnations stay known for a
 * while. An entry that was unreachable is thus found again at its first
 * datagram. An old record from the store, which may name an earlier
 * incarnation, does not hide the present one either.
 */
import {createRecentMap} from '../../utils/recent_map.js';
import type {EntryAddress} from '../types.js';
import {senderHashOf} from './compact_load.js';
import type {SenderHash} from './compact_load.js';

/**
 * Most hashes whose addresses are remembered; beyond it, the least recently
 * learned one is dropped. The largest fleet has 370 entries.
 */
const MAX_ADDRESSES = 1_500;

export interface KnownSenders {
  /** Records the address of an entry. */
  learn(entry: EntryAddress): void;
  /**
   * The entry with this hash. Undefined if there is none, or if there are
   * several: until one of them is gone, only their datagrams with an address
   * count.
   */
  find(hash: SenderHash): EntryAddress | undefined;
}

export function createKnownSenders(): KnownSenders {
  const byHash = createRecentMap<readonly EntryAddress[]>(MAX_ADDRESSES);
  return {
    learn: entry => {
      const key = keyOf(senderHashOf(entry));
      const others = (byHash.get(key) ?? []).filter(
        it => it.node !== entry.node || it.incarnation !== entry.incarnation,
      );
      byHash.set(key, [...others, entry]);
    },
    find: hash => {
      const entries = byHash.get(keyOf(hash)) ?? [];
      return entries.length === 1 ? entries[0] : undefined;
    },
  };
}

function keyOf({node, incarnation}: SenderHash): string {
  return `${node}.${incarnation}`;
}
