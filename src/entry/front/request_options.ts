/**
 * Reads the options of a request from its headers: priority, time limit,
 * repeatability and idempotency key. Completions and calls have the same
 * options.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {badRequest} from '../faults.js';
import type {BodyOptions} from './completion_fields.js';

/** Longest time limit of a request. A longer one is refused. */
const MAX_TIME_LIMIT_MS = 24 * 60 * 60 * 1000;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const TRUE_VALUES = new Set(['yes', 'true']);
const FALSE_VALUES = new Set(['no', 'false']);

/** The options of one request, from its headers and body. */
export interface RequestOptions {
  /** Name of a priority class; undefined for the default one. */
  readonly priority: string | undefined;
  /** Undefined for the default of the length class or pool. */
  readonly timeLimitMs: number | undefined;
  /**
   * Whether the request may run more than once. Undefined for the default of
   * the request's kind and declarations.
   */
  readonly repeatable: boolean | undefined;
  /** Identifies repeats of the same request; undefined without the header. */
  readonly idempotencyKey: string | undefined;
}

/**
 * Reads the options from the headers, which take precedence over the fields of
 * the body. Throws an `OnyxError` if a value is invalid. `wallNowMs` is the
 * Unix time in milliseconds. It is needed for the header `x-onyxloft-deadline`,
 * which holds an absolute time.
 */
export function readRequestOptions(
  headers: IncomingHttpHeaders,
  body: BodyOptions,
  wallNowMs: number,
): RequestOptions {
  return {
    priority: readText(headers, 'x-onyxloft-priority') ?? body.priority,
    timeLimitMs: readTimeLimitMs(headers, body, wallNowMs),
    repeatable:
      readBoolean(headers, 'x-onyxloft-repeatable') ?? body.repeatable,
    idempotencyKey: readIdempotencyKey(headers),
  };
}

function readText(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function readTimeLimitMs(
  headers: IncomingHttpHeaders,
  body: BodyOptions,
  wallNowMs: number,
): number | undefined {
  const limits = [
    readWholeMs(headers, 'x-onyxloft-time-limit-ms') ?? body.timeLimitMs,
    readDeadlineLeftMs(headers, wallNowMs),
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

function readWholeMs(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = readText(headers, name);
  if (value === undefined) return undefined;
  if (!/^-?\d{1,12}$/.test(value)) {
    throw badRequest(`header ${name} must be a whole number of milliseconds`);
  }
  return Number(value);
}

function readDeadlineLeftMs(
  headers: IncomingHttpHeaders,
  wallNowMs: number,
): number | undefined {
  const value = readText(headers, 'x-onyxloft-deadline');
  if (value === undefined) return undefined;
  const deadlineMs = Date.parse(value);
  if (Number.isNaN(deadlineMs)) {
    throw badRequest('header x-onyxloft-deadline must be an ISO 8601 time');
  }
  return deadlineMs - wallNowMs;
}

function readBoolean(
  headers: IncomingHttpHeaders,
  name: string,
): boolean | undefined {
  const value = readText(headers, name)?.toLowerCase();
  if (value === undefined) return undefined;
  if (TRUE_VALUES.has(value)) return true;
  if (FALSE_VALUES.has(value)) return false;
  throw badRequest(`header ${name} must be "yes" or "no"`);
}

function readIdempotencyKey(headers: IncomingHttpHeaders): string | undefined {
  const value = readText(headers, 'idempotency-key');
  if (value === undefined) return undefined;
  if (!IDEMPOTENCY_KEY_PATTERN.test(value)) {
    throw badRequest(
      'header idempotency-key must be 1 to 255 printable characters',
    );
  }
  return value;
}
