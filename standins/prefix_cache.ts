/**
 * Prefix cache of the stand-in engine: blocks known by the hash of the leading
 * prompt up to them, least recently used dropped first. It lives in what
 * memory the runs leave over. Its events come out late and with gaps.
 */
import type {CacheEvent} from '../src/types/upstream.js';

const EVENTS_KEPT = 10_000;
const EVENTS_PER_CALL = 1_000;

interface DatedEvent {
  readonly event: CacheEvent;
  readonly visibleAt: number;
}

export interface PrefixCacheOptions {
  readonly blockTokens: number;
  readonly eventDelayMs: number;
  /** Each so-manieth event is lost; 0 for none. */
  readonly eventLossEvery: number;
  readonly now: () => number;
}

export interface PrefixCache {
  /** Leading blocks that are cached; marks them as used. */
  match(hashes: readonly string[]): number;
  /** Keeps blocks, as far as `roomTokens` for the whole cache allows. */
  store(hashes: readonly string[], roomTokens: number): void;
  /** Drops the least recently used until at most `roomTokens` are used. */
  shrink(roomTokens: number): void;
  has(hash: string): boolean;
  tokens(): number;
  events(afterSeq: number): readonly CacheEvent[];
  /** Drops all without an event, as a dying engine does. */
  clear(): void;
}

/** Makes an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  const {blockTokens} = options;
  // In order of use: a `Map` iterates in order of insertion.
  const blocks = new Map<string, true>();
  let events: DatedEvent[] = [];
  let seq = 0;

  const note = (kind: CacheEvent['kind'], hash: string) => {
    seq += 1;
    const every = options.eventLossEvery;
    if (every > 0 && seq % every === 0) return;
    const visibleAt = options.now() + options.eventDelayMs;
    events.push({event: {seq, kind, hash}, visibleAt});
    if (events.length > 2 * EVENTS_KEPT) events = events.slice(-EVENTS_KEPT);
  };

  const touch = (hash: string) => {
    blocks.delete(hash);
    blocks.set(hash, true);
  };

  const shrink = (roomTokens: number) => {
    for (const hash of blocks.keys()) {
      if (blocks.size * blockTokens <= roomTokens) return;
      blocks.delete(hash);
      note('evicted', hash);
    }
  };

  const match = (hashes: readonly string[]) => {
    const missing = hashes.findIndex(hash => !blocks.has(hash));
    const count = missing < 0 ? hashes.length : missing;
    // Last block first, so that a prefix outlives what builds on it.
    for (let i = count - 1; i >= 0; i--) touch(hashes[i]);
    return count;
  };

  const store = (hashes: readonly string[], roomTokens: number) => {
    const fitting = Math.floor(Math.max(0, roomTokens) / blockTokens);
    const kept = hashes.slice(0, fitting);
    for (let i = kept.length - 1; i >= 0; i--) {
      const isNew = !blocks.has(kept[i]);
      touch(kept[i]);
      if (isNew) note('stored', kept[i]);
    }
    shrink(roomTokens);
  };

  return {
    match,
    store,
    shrink,
    has: hash => blocks.has(hash),
    tokens: () => blocks.size * blockTokens,
    events: afterSeq => {
      const now = options.now();
      return events
        .filter(({event, visibleAt}) => {
          return event.seq > afterSeq && visibleAt <= now;
        })
        .slice(0, EVENTS_PER_CALL)
        .map(({event}) => event);
    },
    clear: () => {
      blocks.clear();
      events = [];
    },
  };
}
