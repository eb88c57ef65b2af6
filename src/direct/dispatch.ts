/**
 * One request to one replica, over a connection of its own. A kept connection
 * may have gone silent, or hold a late second answer to an earlier request;
 * dialling costs about a millisecond and rules both out.
 */
import {request} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {Clock} from '../types/runtime.js';
import {splitAddress} from './settings.js';

/** Hosts of one region answer a dial within a few milliseconds. */
const DIAL_MS = 300;

/** Status line and headers of a replica's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
}

/** What is sent, and to whom. */
export interface DispatchRequest {
  /** IP:PORT. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Called in order: at most one head, data, then one end. */
export interface DispatchObserver {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The body is whole: its framing says so. */
  onEnd(): void;
  /** No whole answer came. `sent` is false when nothing can have arrived. */
  onBroken(sent: boolean, reason: string): void;
}

export interface Dispatch {
  /** Closes the connection, which ends the replica's work; no more calls. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Sends the request; the observer hears of the rest. */
export type OpenDispatch = (
  spec: DispatchRequest,
  clock: Clock,
  observer: DispatchObserver,
) => Dispatch;

/** Over HTTP. */
export function openDispatch(
  spec: DispatchRequest,
  clock: Clock,
  observer: DispatchObserver,
): Dispatch {
  const to = splitAddress(spec.address);
  let over = false;
  let connected = false;
  let answer: IncomingMessage | undefined;

  const finish = (tell: () => void) => {
    if (over) return;
    over = true;
    cancelDial();
    tell();
  };
  const broken = (reason: string) =>
    finish(() => observer.onBroken(connected, reason));

  const req = request({
    host: to?.ip,
    port: to?.port,
    method: spec.method,
    path: spec.path,
    headers: spec.headers as string[],
    agent: false,
  });
  const cancelDial = clock.after(DIAL_MS, () => {
    if (connected) return;
    broken('dial timed out');
    req.destroy();
  });
  req.on('socket', socket => {
    socket.setNoDelay(true);
    socket.once('connect', () => {
      connected = true;
    });
  });
  req.on('response', res => {
    answer = res;
    if (over) return;
    observer.onHead({
      status: res.statusCode ?? 0,
      headers: res.headers,
      rawHeaders: res.rawHeaders,
    });
    res.on('data', (chunk: Buffer) => {
      if (!over) observer.onData(chunk);
    });
    res.on('end', () => {
      if (res.complete) finish(() => observer.onEnd());
      else broken('cut');
    });
    res.on('error', err => broken(err.message));
    res.on('close', () => broken('closed'));
  });
  req.on('error', err => broken(err.message));
  req.on('close', () => broken('closed without an answer'));
  req.end(spec.body);

  return {
    cancel: () => {
      finish(() => undefined);
      req.destroy();
    },
    pause: () => answer?.pause(),
    resume: () => answer?.resume(),
  };
}
