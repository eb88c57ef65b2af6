/** A map that keeps only the entries set last, so that it cannot grow. */

export interface RecentMap<T> {
  get(key: string): T | undefined;
  set(key: string, value: T): void;
  delete(key: string): void;
}

/** Holds at most `capacity` entries; the one set longest ago goes first. */
export function createRecentMap<T>(capacity: number): RecentMap<T> {
  const entries = new Map<string, T>();
  return {
    get: key => entries.get(key),
    set: (key, value) => {
      // Set anew, since a Map keeps the place of a key that it has.
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
