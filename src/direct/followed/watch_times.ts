/**
 * How long the service `followed` lets its watches of the store wait, and how
 * long it pauses before it calls again. After each answer to a watch, every
 * entry makes another call. A connection that failed silently is noticed only
 * when the wait of its watch ends.
 */

/**
 * How long a watch of the configuration waits, in milliseconds. Each answer is
 * evidence for callers' keys, which is needed about once a second.
 */
export const CONFIG_WATCH_MS = 1_000;
/**
 * How long a watch of the replicas waits, in milliseconds. A watch whose
 * connection fails silently is given up shortly after this time. Replicas may
 * leave meanwhile: the platform's limit on the work lost with them starts 3 s
 * after such a fault, and by then the next watch has reported them.
 */
export const REPLICAS_WATCH_MS = 2_000;
/**
 * How long both watches wait while a peer confirms what is known, in
 * milliseconds. The store allows 30 s. The peer's answers show each change and
 * each failure of this entry's watches, so the length only decides how many
 * calls are made.
 */
export const LONG_WATCH_MS = 29_000;
/**
 * Pause after changes of replicas, as a share of the time for which a replica
 * that is shutting down still serves. The second of two changes is known later
 * by this pause. Without it, each change would cost every entry a call while
 * fifty replicas are replaced within 15 s.
 */
export const REPLICAS_CHANGE_PAUSE_SHARE = 0.3;
/**
 * How long a watch of the quarantine records waits while peers are alive, in
 * milliseconds. Peers report requests that crash replicas as well, so a
 * connection that fails silently does no harm.
 */
export const QUARANTINE_WATCH_MS = 29_000;
/**
 * `maxRetryMs` of the followers, in milliseconds, while the store fails and no
 * peer answers.
 */
export const MAX_RETRY_WITHOUT_PEER_MS = 500;
/**
 * The same while a peer answers. The first entry by name still attempts often,
 * and its answer arrives half a second after the store is back. If all entries
 * attempted as often, the store would receive several times as many calls.
 */
export const MAX_RETRY_WITH_PEER_MS = 2_000;
