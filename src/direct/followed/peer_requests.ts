/**
 * The requests of the service `followed` to the services `sharing` and
 * `handover`: what a peer (another entry) knows about the store, and its copy
 * of that.
 */
import type {ServiceContext} from '../../types/kernel.js';
import '../messages.js';
import type {DirectConfig, DirectReplica, PeerAnswer} from '../types.js';

export interface PeerRequests {
  /** Resolves to undefined when no peer answers. */
  queryPeer(anyPeer: boolean): Promise<PeerAnswer | undefined>;
  /** Each of these resolves to undefined when nothing valid was received. */
  fetchConfig(from: PeerAnswer): Promise<DirectConfig | undefined>;
  fetchReplicas(
    from: PeerAnswer,
  ): Promise<ReadonlyMap<string, DirectReplica> | undefined>;
  fetchEvacuations(from: PeerAnswer): Promise<ReadonlySet<string> | undefined>;
}

type Reply<T> = (value: T | undefined) => void;

export function createPeerRequests(
  ctx: ServiceContext<'followed'>,
): PeerRequests {
  return {
    queryPeer: anyPeer =>
      ctx.ask('sharing', (reply: Reply<PeerAnswer>) => ({
        kind: 'query-peer',
        anyPeer,
        reply,
      })),
    fetchConfig: from =>
      ctx.ask('handover', (reply: Reply<DirectConfig>) => ({
        kind: 'fetch-config',
        from,
        reply,
      })),
    fetchReplicas: from =>
      ctx.ask(
        'handover',
        (reply: Reply<ReadonlyMap<string, DirectReplica>>) => ({
          kind: 'fetch-replicas',
          from,
          reply,
        }),
      ),
    fetchEvacuations: from =>
      ctx.ask('handover', (reply: Reply<ReadonlySet<string>>) => ({
        kind: 'fetch-evacuations',
        from,
        reply,
      })),
  };
}
