/** The platform's host list over HTTP. */
import {z} from 'zod';
import type {HostList} from '../types/platform.js';
import type {Clock} from '../types/runtime.js';
import {createHttpClient} from './http_client.js';
import {createConditionalGet} from './http_json.js';

const PATH = '/v1/hosts';
const CONNECTIONS = 1;

const listSchema = z.object({
  version: z.number(),
  hosts: z.array(
    z.object({
      host: z.string(),
      address: z.string(),
      failureDomain: z.string(),
      pool: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Clock and time limit of the calls. */
export interface HttpHostListOptions {
  readonly clock: Clock;
  /** Limit of each call. @default 1000 */
  readonly timeoutMs?: number;
}

/** The host list with its connections. */
export interface HttpHostList {
  readonly list: HostList;
  close(): Promise<void>;
}

/** Client of the host list at `url`, for example `http://127.0.0.1:7401`. */
export function createHttpHostList(
  url: string,
  options: HttpHostListOptions,
): HttpHostList {
  const client = createHttpClient({...options, url, connections: CONNECTIONS});
  const source = {
    client,
    peer: url,
    path: PATH,
    step: 'host-list',
    schema: listSchema,
  } as const;
  const getList = createConditionalGet(source);
  return {
    list: async () => (await getList()).map(answer => answer.hosts),
    close: () => client.close(),
  };
}
