/** Callers of the soak: what they send, and all that they get back. */
import {Agent, request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {HOST} from '../standins/users_platform/deployment.js';

/** Limit that a caller gives with its request. */
export const DEADLINE_MS = 3_000;
/** A caller that still has nothing by then leaves; the judge says so. */
const HANG_MS = 30_000;
/** Promises that the request has not run and never will. */
export const NOT_RUN_STATUS = 503;
/** The same, of a request that crashes replicas. */
export const REFUSED_FOR_GOOD_STATUS = 429;
/** Events of a whole stream. */
export const STREAM_EVENTS = 20;

const PATHS = {
  stream: '/stream/',
  once: '/once/',
  again: '/again/',
} as const;

export type RequestKind = keyof typeof PATHS;

/** Prompt and answer length in tokens; the large one needs a group. */
const LENGTHS = {small: '1000,100', large: '18000,100'} as const;

export interface SoakRequest {
  readonly id: string;
  readonly entry: number;
  readonly kind: RequestKind;
  readonly key: string;
  readonly isLarge: boolean;
  /** What it sends. @default the same for all */
  readonly prompt?: string;
  /** Parts of the prompt that others share. @default some of a few */
  readonly parts?: readonly string[];
}

/** One request's end, as its caller saw it. Times are steady milliseconds. */
export interface Outcome extends SoakRequest {
  /** No signal reached the entry from the sending to the end. */
  readonly wasUndisturbed: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined when no answer began. */
  readonly status: number | undefined;
  readonly body: string;
  /** The framing of the answer says that it is whole. */
  readonly isWhole: boolean;
  /** The answer says that the request did not run. */
  readonly saysNotRun: boolean;
  readonly error: string | undefined;
  /** When an answer began that names its replica's limit. */
  readonly limitNamedAt: number | undefined;
  /** When an answer began that says that its replica leaves. */
  readonly leavingSaidAt: number | undefined;
}

/** The first part of all prompts that name no other. */
export const SHARED_PART = 'f0';
/** Second parts of ordinary prompts. */
const SECOND_PARTS = 5;
/** Length of one part in tokens. */
const PART_TOKENS = 40;

function secondPartOf(id: string): number {
  return Buffer.from(id).reduce((sum, byte) => sum + byte, 0) % SECOND_PARTS;
}

/** The header that names the prompt's parts; the last is the request's own. */
function partsHeader({parts, kind, id}: SoakRequest): string {
  const shared = parts ?? [SHARED_PART, `a${secondPartOf(id)}`];
  const own = Buffer.from(`${kind}${id}`).toString('hex').slice(-32);
  return [...shared, own].map(part => `${part}:${PART_TOKENS}`).join(',');
}

/** Sends one request; always resolves. */
export function sendRequest(
  address: string,
  agent: Agent,
  asked: SoakRequest,
  isUndisturbedSince: (sentAt: number) => boolean,
): Promise<Outcome> {
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise(resolve => {
    let res: IncomingMessage | undefined;
    let body = '';
    let error: string | undefined;
    let limitNamedAt: number | undefined;
    let leavingSaidAt: number | undefined;
    const end = () => {
      clearTimeout(hang);
      resolve({
        ...asked,
        sentAt,
        endedAt: performance.now(),
        wasUndisturbed: isUndisturbedSince(sentAt),
        status: res?.statusCode,
        body,
        isWhole: res?.complete ?? false,
        saysNotRun:
          res?.statusCode === NOT_RUN_STATUS ||
          res?.statusCode === REFUSED_FOR_GOOD_STATUS,
        error,
        limitNamedAt,
        leavingSaidAt,
      });
    };
    const req = request({
      host,
      port,
      path: PATHS[asked.kind],
      method: 'POST',
      agent,
      headers: {
        Host: HOST,
        'X-Request-Id': asked.id,
        Authorization: `Token ${asked.key}`,
        'X-Deadline-Ms': String(DEADLINE_MS),
        'X-Prompt-Prefix': partsHeader(asked),
        ...(asked.kind === 'stream'
          ? {'X-Token-Usage': LENGTHS[asked.isLarge ? 'large' : 'small']}
          : {}),
      },
    });
    const hang = setTimeout(() => {
      error = `no end within ${HANG_MS} ms`;
      req.destroy();
      end();
    }, HANG_MS);
    req.on('error', err => {
      error ??= err.message;
      if (res === undefined) end();
    });
    req.on('response', got => {
      res = got;
      if (got.headers['server-limit'] !== undefined) {
        limitNamedAt = performance.now();
      }
      if (got.headers['server-leaving'] !== undefined) {
        leavingSaidAt = performance.now();
      }
      got.on('data', (piece: Buffer) => {
        body += piece.toString('utf8');
      });
      got.on('error', err => {
        error ??= err.message;
      });
      got.on('close', end);
    });
    req.end(asked.prompt ?? 'a prompt');
  });
}

/** Connections of one caller to one entry, kept as long as the entry lives. */
export function keptConnections(): Agent {
  return new Agent({keepAlive: true, maxSockets: 8});
}
