/**
 * HTTP client of the platform's host list. It checks each response against a
 * schema and returns the same array while the list has not changed.
 */
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

/** Clock and time limit of the requests. */
export interface HttpHostListOptions {
  readonly clock: Clock;
  /** Time limit of each request, in milliseconds. @default 1000 */
  readonly timeoutMs?: number;
}

/** The host list and the connections that it is read over. */
export interface HttpHostList {
  readonly list: HostList;
  close(): Promise<void>;
}

/** Creates a client of the host list at `url` (`http://127.0.0.1:7401`). */
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
