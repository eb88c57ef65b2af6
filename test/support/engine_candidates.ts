/** Engines with given loads, for tests of the placement decisions. */
import type {EngineCandidate} from '../../src/direct/decide/score_engine.js';
import type {ReplicaLoad} from '../../src/direct/replica_load.js';

const IDLE_LOAD = {running: 0, tokens: 0, readMs: 0, readers: [], writers: []};

/** An engine with `places` request slots; idle except for the given load. */
export function engineCandidate(
  id: string,
  places: number,
  load: Partial<ReplicaLoad> = {},
): EngineCandidate {
  return {
    replica: {
      id,
      name: id,
      startedAt: undefined,
      service: 'pool',
      address: `${id}:1`,
      failureDomain: 'd',
      places,
      leaving: false,
    },
    load: {replicaId: id, ...IDLE_LOAD, ...load},
    slowness: 1,
  };
}
