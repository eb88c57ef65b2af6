/**
 * Decides when an entry takes over what a peer (another entry) knows about the
 * store. While its own calls are answered, the store is the more current
 * source, so a peer is used only after this entry's own calls have failed to
 * bring the change.
 *
 * A version of the configuration is the same wherever it comes from, and the
 * newest one replaces all others, so the configuration may be taken over at any
 * time. This entry's own watch gets the time of one query to deliver it first.
 * A list of replicas has no version. It is taken over only while this entry
 * cannot reach the store, and the next own read replaces it.
 */
import type {DirectConfig, DirectReplica, PeerAnswer} from './types.js';

/**
 * Consecutive answers with a newer version after which the configuration is
 * fetched from the peer.
 */
const NEWER_ANSWERS_BEFORE_FETCH = 2;

export interface CatchUpOptions {
  /**
   * Version of the configuration that is in force here; undefined without one.
   */
  ownVersion(): number | undefined;
  /** Whether the last own call to the store failed. */
  isStoreLost(): boolean;
  fetchConfig(from: PeerAnswer): Promise<DirectConfig | undefined>;
  fetchReplicas(
    from: PeerAnswer,
  ): Promise<ReadonlyMap<string, DirectReplica> | undefined>;
  onConfig(config: DirectConfig, from: PeerAnswer): void;
  onReplicas(
    replicas: ReadonlyMap<string, DirectReplica>,
    from: PeerAnswer,
  ): void;
  /** The fetch failed; the next answer starts another one. */
  onFetchFailed(cause: unknown): void;
}

export interface CatchUp {
  /**
   * Handles an answer with a different configuration. Returns true when the
   * configuration is fetched from the peer, so that the store need not be asked
   * as well.
   */
  handleDifferentConfig(answer: PeerAnswer): boolean;
  /** Handles an answer with the same configuration. */
  handleSameConfig(): void;
  handleDifferentReplicas(answer: PeerAnswer): void;
}

export function createCatchUp(options: CatchUpOptions): CatchUp {
  let newerAnswers = 0;
  let isFetching = false;

  const isNewer = ({configVersion = -Infinity}: PeerAnswer): boolean =>
    configVersion > (options.ownVersion() ?? -Infinity);

  const fetchUnlessFetching = (fetch: () => Promise<void>): void => {
    if (isFetching) return;
    isFetching = true;
    fetch()
      .catch(options.onFetchFailed)
      .finally(() => {
        isFetching = false;
      });
  };

  return {
    handleDifferentConfig: answer => {
      newerAnswers = isNewer(answer) ? newerAnswers + 1 : 0;
      if (newerAnswers < NEWER_ANSWERS_BEFORE_FETCH) return false;
      fetchUnlessFetching(async () => {
        const config = await options.fetchConfig(answer);
        if (config !== undefined) options.onConfig(config, answer);
      });
      return true;
    },
    handleSameConfig: () => {
      newerAnswers = 0;
    },
    handleDifferentReplicas: answer => {
      if (!options.isStoreLost()) return;
      fetchUnlessFetching(async () => {
        const replicas = await options.fetchReplicas(answer);
        if (replicas === undefined || !options.isStoreLost()) return;
        options.onReplicas(replicas, answer);
      });
    },
  };
}
