/**
 * Client of the operators' HTTP API, for the command line and for programs.
 * Each call opens a new connection, because an established one may have stopped
 * responding while new ones still work.
 */
import {Agent, request} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {NumberedDeclarations} from '../types/config.js';
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, ErrorDetails, Step} from '../types/errors.js';
import type {ConfigNumber, RequestId} from '../types/ids.js';
import type {
  ConfigAccepted,
  ConfigFault,
  ConfigHistoryLine,
  ConfigPatch,
  ConfigRejection,
} from '../types/services.js';
import {
  NO_FINAL_STATUS,
  isFinalStatus,
  isSuccess,
} from '../utils/final_status.js';

/** Default time limit of one attempt, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 30_000;
/**
 * Limit on attempts of a call that is safe to repeat, with the first one. The
 * error of the last attempt is returned.
 */
const MAX_ATTEMPTS = 3;

/** Address of the operators' API, and the token for it. */
export interface OperatorClientOptions {
  /** Base URL of the `listen.operators` address of an entry or a side. */
  readonly url: string;
  readonly token: string;
  /** Time limit of one attempt, in milliseconds. @default 30000 */
  readonly timeoutMs?: number;
}

/** Result of a call. The error states the failed step and the peer. */
export type OperatorResult<T> = Promise<Either<OnyxError, T>>;

/** The operators' API, for the command line and for programs. */
export interface OperatorClient {
  /** Reads the newest accepted declarations. */
  config(): OperatorResult<NumberedDeclarations>;
  /** Reads the declarations of one number. */
  configAt(number: ConfigNumber): OperatorResult<NumberedDeclarations>;
  /** Reads up to `limit` accepted patches, the newest first. */
  history(limit: number): OperatorResult<readonly ConfigHistoryLine[]>;
  /** Applies a patch. With `dryRun`, only returns what would change. */
  patch(patch: ConfigPatch): Promise<Either<ConfigRejection, ConfigAccepted>>;
  /** Reads the state of the process at the client's URL. */
  status(): OperatorResult<unknown>;
  /** Reads the hosts and their states, as the entry sees them. */
  hosts(): OperatorResult<unknown>;
  /** Reads the routing decisions of a request. */
  explain(id: RequestId): OperatorResult<unknown>;
  /** Makes the process at the client's URL drain and exit. */
  drain(): OperatorResult<unknown>;
}

/** HTTP response of the API, with any final status. */
interface ApiResponse {
  readonly status: number;
  /** The parsed JSON; undefined when the body is no JSON object or array. */
  readonly body: unknown;
}

type Method = 'GET' | 'POST';

/** Creates a client. It opens no connection until a call. */
export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  const call = (method: Method, path: string, body?: unknown) =>
    callOnce(options, method, path, body);
  const get = async <T>(path: string) =>
    (await withRetries(() => call('GET', path))).chain(answer =>
      toResult<T>(options.url, answer),
    );
  return {
    config: () => get('/config'),
    configAt: number => get(`/config/${number}`),
    history: limit => get(`/config/history?limit=${limit}`),
    patch: async patch => {
      // The response may be lost after the patch took effect. A repeat is safe,
      // since the entry applies a patch id at most once.
      const answer = await withRetries(() =>
        call('POST', '/config/patches', patch),
      );
      return answer
        .mapLeft(error => ({error, head: 0, faults: []}))
        .chain(found => toPatchResult(options.url, found));
    },
    status: () => get('/status'),
    hosts: () => get('/hosts'),
    explain: id => get(`/requests/${encodeURIComponent(id)}/explain`),
    drain: async () =>
      (await call('POST', '/drain', {})).chain(answer =>
        toResult(options.url, answer),
      ),
  };
}

async function withRetries(
  attempt: () => OperatorResult<ApiResponse>,
): OperatorResult<ApiResponse> {
  let outcome = await attempt();
  for (let i = 1; i < MAX_ATTEMPTS && outcome.isLeft(); i++) {
    outcome = await attempt();
  }
  return outcome;
}

async function callOnce(
  options: OperatorClientOptions,
  method: Method,
  path: string,
  body: unknown,
): OperatorResult<ApiResponse> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const dispatcher = new Agent();
  const base = options.url.replace(/\/+$/, '');
  try {
    const res = await request(`${base}/operator/v1${path}`, {
      method,
      dispatcher,
      headers: {
        authorization: `Bearer ${options.token}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await res.body.text();
    const {statusCode: status} = res;
    if (!isFinalStatus(status)) throw new Error(NO_FINAL_STATUS);
    return Right({status, body: parseJson(text)});
  } catch (err) {
    return Left(createUnreachableError(options.url, timeoutMs, err as Error));
  } finally {
    void dispatcher.destroy();
  }
}

function createUnreachableError(
  url: string,
  timeoutMs: number,
  err: Error,
): OnyxError {
  const isTimeout = err.name === 'TimeoutError';
  return new OnyxError({
    code: isTimeout ? 'timeout' : 'peer-unreachable',
    step: 'read',
    peer: url,
    message: isTimeout ? `no answer within ${timeoutMs} ms` : err.message,
    ran: 'unknown',
  });
}

/** A part of a body may be valid JSON, but no part of an object is. */
function parseJson(text: string): unknown {
  try {
    const value = JSON.parse(text) as unknown;
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

function toResult<T>(url: string, answer: ApiResponse): Either<OnyxError, T> {
  const {status, body} = answer;
  if (!isSuccess(status)) return Left(toOnyxError(url, answer));
  if (body === undefined)
    return Left(createUnexpectedResponseError(url, status));
  return Right(body as T);
}

function toPatchResult(
  url: string,
  answer: ApiResponse,
): Either<ConfigRejection, ConfigAccepted> {
  const rejected = (answer.body ?? {}) as {
    readonly head?: number;
    readonly faults?: readonly ConfigFault[];
  };
  return toResult<ConfigAccepted>(url, answer).mapLeft(error => ({
    error,
    head: rejected.head ?? 0,
    faults: rejected.faults ?? [],
  }));
}

function toOnyxError(url: string, {status, body}: ApiResponse): OnyxError {
  const error = (body as {readonly error?: Partial<ErrorDetails>} | undefined)
    ?.error;
  if (typeof error?.message !== 'string')
    return createUnexpectedResponseError(url, status);
  return new OnyxError({
    code: error.code ?? codeOf(status),
    step: error.step ?? stepOf(status),
    peer: error.peer || url,
    message: error.message,
    ran: error.ran ?? 'no',
    requestId: error.requestId,
  });
}

/** Another server than an entry or a side responded, or the body was cut off. */
function createUnexpectedResponseError(url: string, status: number): OnyxError {
  return new OnyxError({
    code: codeOf(status),
    step: stepOf(status),
    peer: url,
    message: `status ${status} without the JSON of the operators' API; is this the address of listen.operators?`,
    ran: 'unknown',
  });
}

function codeOf(status: number): ErrorCode {
  if (status === 401) return 'unauthorised';
  if (status === 403) return 'forbidden';
  if (status === 404) return 'not-found';
  return 'internal';
}

function stepOf(status: number): Step {
  return status === 401 || status === 403 ? 'authenticate' : 'read';
}
