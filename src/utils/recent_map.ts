/**
 * A map of bounded size that keeps the most recently set entries. The bound
 * keeps its memory use from growing without limit.
 */

/** A bounded map with text keys. */
export interface RecentMap<T> {
  get(key: string): T | undefined;
  set(key: string, value: T): void;
  delete(key: string): void;
}

/**
 * Creates a map of at most `capacity` entries. When it is full, setting a new
 * key evicts the least recently set entry.
 */
export function createRecentMap<T>(capacity: number): RecentMap<T> {
  const entries = new Map<string, T>();
  return {
    get: key => entries.get(key),
    set: (key, value) => {
      // Delete first: a Map keeps the position of an existing key.
      entries.delete(key);
      entries.set(key, value);
      if (entries.size <= capacity) return;
      for (const oldest of entries.keys()) {
        entries.delete(oldest);
        return;
      }
    },
    delete: key => void entries.delete(key),
  };
}
