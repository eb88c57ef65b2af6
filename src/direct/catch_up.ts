/**
 * Decides when an entry takes over what another one knows of the store. As long
 * as its own calls are answered, the store's word is newer than anyone else's,
 * so another entry's is taken only when the own way has failed it.
 *
 * A version of the configuration is the same wherever it comes from, and the
 * newest goes before all others, so the configuration may be taken at any time;
 * the own watch is given one question's time to bring it first. A list of
 * replicas bears no version: it is taken only while the store is lost to this
 * entry, and its own next read goes before it again.
 */
import type {DirectConfig, DirectReplica, PeerAnswer} from './types.js';

/** Answers in a row with a newer version until it is fetched from there. */
const NEWER_ANSWERS_BEFORE_FETCH = 2;

export interface CatchUpOptions {
  /** Version in force here. */
  ownVersion(): number | undefined;
  /** The last own call to the store failed. */
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
  /** It could not be fetched; the next answer tries again. */
  onFetchFailed(cause: unknown): void;
}

export interface CatchUp {
  /**
   * Another entry has another configuration, on young evidence. True when it is
   * fetched from there: the store need not be asked as well.
   */
  handleDifferentConfig(answer: PeerAnswer): boolean;
  /** It has the same configuration. */
  handleSameConfig(): void;
  handleDifferentReplicas(answer: PeerAnswer): void;
}

export function createCatchUp(options: CatchUpOptions): CatchUp {
  let newerAnswers = 0;
  let isFetching = false;

  const isNewer = ({configVersion = -Infinity}: PeerAnswer): boolean =>
    configVersion > (options.ownVersion() ?? -Infinity);

  const fetchOnce = (fetch: () => Promise<void>): void => {
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
      fetchOnce(async () => {
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
      fetchOnce(async () => {
        const replicas = await options.fetchReplicas(answer);
        if (replicas === undefined || !options.isStoreLost()) return;
        options.onReplicas(replicas, answer);
      });
    },
  };
}
