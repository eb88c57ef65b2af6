/**
 * Decides when an entry fetches the configuration or the replicas from a peer
 * (another entry). This entry's calls to the store may fail while the peer's
 * succeed, and then only the peer knows the newest state.
 *
 * Two configurations with the same version have the same content, and a higher
 * version replaces a lower one. A configuration may therefore be fetched
 * whether or not this entry's calls to the store fail. The fetch starts at the
 * second answer in a row that names a newer version, so that this entry's own
 * watch of the store can deliver that version first. An entry without any
 * configuration serves nobody, so it fetches at the first answer.
 *
 * A list of replicas has no version, so a peer's list may be older than this
 * entry's. It is fetched only while this entry's calls to the store fail, or
 * while it has no list. The next list that this entry gets from the store
 * replaces it.
 *
 * A peer may fall silent during a fetch. Configurations are therefore fetched
 * from several peers at a time, one from each, and replicas beside them.
 */
import type {DirectConfig, DirectReplica, PeerAnswer} from './types.js';

/**
 * Consecutive answers of peers with a newer version than this entry's. From
 * this count on the configuration is fetched from the peer. Below it nothing is
 * fetched, and the caller of this module lists the store's configuration.
 */
const NEWER_ANSWERS_BEFORE_FETCH = 2;

export interface CatchUpOptions {
  /**
   * Version of the configuration that this entry uses; undefined while it has
   * none.
   */
  ownVersion(): number | undefined;
  /**
   * Whether a peer's list of replicas may replace this entry's: it has none, or
   * its calls to the store fail. They fail when one has failed, and none for the
   * configuration has been confirmed since.
   */
  mayTakeReplicas(): boolean;
  /** Resolves to undefined when no valid configuration was received. */
  fetchConfig(from: PeerAnswer): Promise<DirectConfig | undefined>;
  /** Resolves to undefined when no valid list was received. */
  fetchReplicas(
    from: PeerAnswer,
  ): Promise<ReadonlyMap<string, DirectReplica> | undefined>;
  /** Called with a configuration that was fetched. */
  onConfig(config: DirectConfig, from: PeerAnswer): void;
  /**
   * Called with replicas that were fetched, if they may still replace this
   * entry's.
   */
  onReplicas(
    replicas: ReadonlyMap<string, DirectReplica>,
    from: PeerAnswer,
  ): void;
  /**
   * Called when a fetch rejects, or when `onConfig` or `onReplicas` throws. A
   * fetch that resolves to undefined is not reported. A later answer may start
   * another fetch.
   */
  onFetchFailed(cause: unknown): void;
}

export interface CatchUp {
  /**
   * Handles a peer's answer whose configuration differs from this entry's.
   * Returns true if enough answers in a row named a newer version to fetch the
   * configuration from the peer. The caller then does not list the store's
   * configuration. If a fetch from the same peer is running, the result is
   * still true, but no fetch is started.
   */
  handleDifferentConfig(answer: PeerAnswer): boolean;
  /** Handles a peer's answer with the configuration that this entry has. */
  handleSameConfig(): void;
  /**
   * Handles a peer's answer whose replicas differ from this entry's. Fetches
   * the peer's replicas if they may replace this entry's.
   */
  handleDifferentReplicas(answer: PeerAnswer): void;
}

export function createCatchUp(options: CatchUpOptions): CatchUp {
  let newerAnswers = 0;
  /** Fetches that are running; see `fetchUnlessFetching`. */
  const running = new Set<string>();

  const isNewer = ({configVersion = -Infinity}: PeerAnswer): boolean =>
    configVersion > (options.ownVersion() ?? -Infinity);

  /** Starts the fetch unless one of the same name is running. */
  const fetchUnlessFetching = (
    name: string,
    fetch: () => Promise<void>,
  ): void => {
    if (running.has(name)) return;
    running.add(name);
    // Deleted first: a fetch that seems to run would keep out every later one.
    const end = () => running.delete(name);
    fetch().finally(end).catch(options.onFetchFailed);
  };

  return {
    handleDifferentConfig: answer => {
      newerAnswers = isNewer(answer) ? newerAnswers + 1 : 0;
      const required =
        options.ownVersion() === undefined ? 1 : NEWER_ANSWERS_BEFORE_FETCH;
      if (newerAnswers < required) return false;
      fetchUnlessFetching(`config of ${answer.node}`, async () => {
        const config = await options.fetchConfig(answer);
        if (config !== undefined) options.onConfig(config, answer);
      });
      return true;
    },
    handleSameConfig: () => {
      newerAnswers = 0;
    },
    handleDifferentReplicas: answer => {
      if (!options.mayTakeReplicas()) return;
      // An earlier list must not replace a later one, so one is fetched at a time.
      fetchUnlessFetching('replicas', async () => {
        const replicas = await options.fetchReplicas(answer);
        if (replicas === undefined || !options.mayTakeReplicas()) return;
        options.onReplicas(replicas, answer);
      });
    },
  };
}
