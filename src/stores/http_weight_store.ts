/**
 * HTTP client of the platform's weight store. It reads the transfer rate and
 * the number of active and queued transfers.
 */
import {z} from 'zod';
import type {WeightStore} from '../types/platform.js';
import type {Clock} from '../types/runtime.js';
import {createHttpClient} from './http_client.js';
import {getJson} from './http_json.js';

const PATH = '/v1/status';
const CONNECTIONS = 1;

const statusSchema = z.object({
  bytesPerSec: z.number(),
  activeTransfers: z.number(),
  queuedTransfers: z.number(),
});

/** Clock and time limit of the requests. */
export interface HttpWeightStoreOptions {
  readonly clock: Clock;
  /** Time limit of each request, in milliseconds. @default 1000 */
  readonly timeoutMs?: number;
}

/** The weight store and the connections that it is read over. */
export interface HttpWeightStore {
  readonly status: WeightStore;
  close(): Promise<void>;
}

/** Creates a client of the weight store at `url`. */
export function createHttpWeightStore(
  url: string,
  options: HttpWeightStoreOptions,
): HttpWeightStore {
  const client = createHttpClient({...options, url, connections: CONNECTIONS});
  const source = {
    client,
    peer: url,
    path: PATH,
    step: 'placement',
    schema: statusSchema,
  } as const;
  return {
    status: () => getJson(source),
    close: () => client.close(),
  };
}
