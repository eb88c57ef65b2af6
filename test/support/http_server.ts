/** Servers on free ports of this host, for tests of HTTP clients. */
import {createServer} from 'node:http';
import type {RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {RouteHandler} from '../../standins/program.js';

export interface TestServer {
  readonly url: string;
  close(): void;
}

/** Listens on a free port. */
export async function listen(listener: RequestListener): Promise<TestServer> {
  const server = createServer(listener);
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return {url: `http://127.0.0.1:${port}`, close};
}

/** Serves a stand-in's routes; a failure breaks the connection. */
export function listenRoutes(handle: RouteHandler): Promise<TestServer> {
  return listen((req, res) => {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    handle(req, res, url).catch(() => res.destroy());
  });
}

/** Waits, without a limit of its own, until `holds` does. */
export async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5));
}
