/**
 * What the users' platform passes to the program of an entry, and requests as
 * callers and the load balancer send them to it.
 */
import {request} from 'node:http';
import {HOST, KEY} from './deployment.js';

/** Environment variable with the path of the settings. */
export const SETTINGS_VARIABLE = 'ONYXLOFT_NODE_FILE';

export interface EntryProgram {
  readonly node: string;
  /** IP:PORT of the store. */
  readonly store: string;
  /** IP:PORT for callers, readiness checks, metrics and peers. */
  readonly addresses: readonly string[];
}

/** Settings of an entry of a deployment that starts for the first time. */
export function entrySettings({node, store, addresses}: EntryProgram) {
  const [callers, ready, metrics, peers = ''] = addresses;
  const [ip, port] = peers.split(':');
  return {
    role: 'direct-entry',
    node,
    failureDomain: 'domain-1',
    ip,
    bootstrap: true,
    listen: {callers, ready, metrics},
    peerPorts: [Number(port)],
    store: {address: store},
    limits: {memoryMb: 250, maxDescriptors: 1_000},
    timing: {graceS: 8, revokeMs: 5_000},
    retries: {ratio: 0.2, slack: 100, windowS: 10},
  };
}

/**
 * Sends a caller's request over a new connection. Resolves to the status when
 * the answer has ended, or to undefined if no answer begins.
 */
export function callEntry(
  address: string,
  path: string,
  id: string,
): Promise<number | undefined> {
  const headers = {
    Host: HOST,
    'X-Request-Id': id,
    Authorization: `Token ${KEY}`,
    'X-Deadline-Ms': '5000',
  };
  return send(address, path, 'POST', headers, 'a prompt');
}

/** Whether the entry passes the load balancer's readiness check. */
export async function isEntryReady(address: string): Promise<boolean> {
  return (await send(address, '/api/ready', 'GET')) === 200;
}

function send(
  address: string,
  path: string,
  method: string,
  headers: Readonly<Record<string, string>> = {},
  body?: string,
): Promise<number | undefined> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const req = request(
      {host, port, path, method, agent: false, headers},
      res => {
        res.resume();
        res.once('close', () => resolve(res.statusCode));
      },
    );
    req.once('error', () => resolve(undefined));
    req.end(body);
  });
}
