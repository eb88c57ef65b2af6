/** Sends a flood as fast as the other side reads, and counts what was taken. */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {endlessBlocks} from './flood_forms.js';
import type {FloodForm} from './flood_forms.js';

/** Writes behind what was written before until the connection has closed. */
export function writeFlood(socket: Socket, form: FloodForm): void {
  const next = endlessBlocks(form);
  if (form.opening !== undefined) socket.write(form.opening);
  const write = (): void => {
    if (!socket.writable) return;
    if (socket.write(next())) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

/** The head of an answer that its replica signs, up to where the flood begins. */
export function floodHead(
  {framing, isHeadEndless = false}: FloodForm,
  status: number,
  lines: readonly string[],
): string {
  const head = [`HTTP/1.1 ${status} Flood`, ...lines, ...framing].join('\r\n');
  return isHeadEndless ? head : `${head}\r\n\r\n`;
}

export interface FloodingReplica {
  /** IP:PORT. */
  readonly address: string;
  /** Connections on which a flood was sent. */
  readonly count: () => number;
  close(): Promise<void>;
}

export interface Flood {
  readonly form: FloodForm;
  readonly status: number;
}

/** A replica that answers each request with the flood of that moment. */
export async function startFloodingReplica(
  ip: string,
  flood: (path: string) => Flood,
): Promise<FloodingReplica> {
  const sockets = new Set<Socket>();
  let count = 0;
  const server = createServer(socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    const onData = (piece: Buffer): void => {
      text += piece.toString('latin1');
      if (!text.includes('\r\n\r\n')) return;
      socket.off('data', onData);
      socket.resume();
      const path = text.split(' ')[1] ?? '';
      const id = /\r\nx-request-id: *([^\r]*)/i.exec(text)?.[1] ?? '';
      const {form, status} = flood(path);
      const seal = [`X-Response-Seal: seal-${id}`, `X-Request-Id: ${id}`];
      count++;
      socket.write(floodHead(form, status, seal));
      writeFlood(socket, form);
    };
    socket.on('data', onData);
  });
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  return {
    address: `${ip}:${(server.address() as AddressInfo).port}`,
    count: () => count,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        sockets.forEach(socket => socket.destroy());
      }),
  };
}
