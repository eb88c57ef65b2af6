/** What a caller asks for in headers, for completions and calls alike. */
import type {IncomingHttpHeaders} from 'node:http';
import {badRequest} from '../faults.js';
import type {BodyOptions} from './completion_fields.js';

const MAX_TIME_LIMIT_MS = 24 * 60 * 60 * 1000;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const YES = new Set(['yes', 'true']);
const NO = new Set(['no', 'false']);

export interface RequestOptions {
  /** Name of a priority class; undefined for the default one. */
  readonly priority: string | undefined;
  /** Undefined for the default of the length class or pool. */
  readonly timeLimitMs: number | undefined;
  /** Undefined when the caller leaves it to the declarations. */
  readonly repeatable: boolean | undefined;
  readonly idempotencyKey: string | undefined;
}

/**
 * Reads the headers; they go before the body's fields. Throws an `OnyxError`
 * on a fault. `wallNowMs` is Unix time, for a deadline given as a time of day.
 */
export function readRequestOptions(
  headers: IncomingHttpHeaders,
  body: BodyOptions,
  wallNowMs: number,
): RequestOptions {
  return {
    priority: text(headers, 'x-onyxloft-priority') ?? body.priority,
    timeLimitMs: timeLimit(headers, body, wallNowMs),
    repeatable: yesOrNo(headers, 'x-onyxloft-repeatable') ?? body.repeatable,
    idempotencyKey: idempotencyKey(headers),
  };
}

function text(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function timeLimit(
  headers: IncomingHttpHeaders,
  body: BodyOptions,
  wallNowMs: number,
): number | undefined {
  const limits = [
    numberIn(headers, 'x-onyxloft-time-limit-ms') ?? body.timeLimitMs,
    untilDeadline(headers, wallNowMs),
  ].filter(limit => limit !== undefined);
  if (limits.length === 0) return undefined;
  const limitMs = Math.min(...limits);
  if (limitMs <= 0) {
    throw badRequest(
      'the deadline is in the past',
      'validate',
      'deadline-in-past',
    );
  }
  if (limitMs > MAX_TIME_LIMIT_MS) {
    throw badRequest(`the time limit is over ${MAX_TIME_LIMIT_MS} ms`);
  }
  return limitMs;
}

function numberIn(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = text(headers, name);
  if (value === undefined) return undefined;
  if (!/^-?\d{1,12}$/.test(value)) {
    throw badRequest(`header ${name} must be a whole number of milliseconds`);
  }
  return Number(value);
}

function untilDeadline(
  headers: IncomingHttpHeaders,
  wallNowMs: number,
): number | undefined {
  const value = text(headers, 'x-onyxloft-deadline');
  if (value === undefined) return undefined;
  const at = Date.parse(value);
  if (Number.isNaN(at)) {
    throw badRequest('header x-onyxloft-deadline must be an ISO 8601 time');
  }
  return at - wallNowMs;
}

function yesOrNo(
  headers: IncomingHttpHeaders,
  name: string,
): boolean | undefined {
  const value = text(headers, name)?.toLowerCase();
  if (value === undefined) return undefined;
  if (YES.has(value)) return true;
  if (NO.has(value)) return false;
  throw badRequest(`header ${name} must be "yes" or "no"`);
}

function idempotencyKey(headers: IncomingHttpHeaders): string | undefined {
  const value = text(headers, 'idempotency-key');
  if (value === undefined) return undefined;
  if (!IDEMPOTENCY_KEY.test(value)) {
    throw badRequest(
      'header idempotency-key must be 1 to 255 printable characters',
    );
  }
  return value;
}
