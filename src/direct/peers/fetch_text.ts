/**
 * Fetches a text from a peer over a connection of its own. The text may be large
 * and the link slow, so a fetch is not ended while bytes arrive: a limit on the
 * whole would end each attempt shortly before its end. It is ended when the peer
 * falls silent, and after a time in which any sound link delivers the text.
 */
import {request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock} from '../../types/runtime.js';
import {createGuard} from '../../utils/callback_guard.js';
import {untilSocketsRead} from '../../utils/event_loop.js';
import {NO_FINAL_STATUS} from '../../utils/final_status.js';
import type {ReadTurns} from '../../utils/read_turns.js';
import {createReceivedBytes} from '../../utils/received_bytes.js';
import {watchWire} from '../../utils/wire_bytes.js';
import type {EntryAddress} from '../types.js';

/** Longest time without a byte, in milliseconds. */
const MAX_SILENCE_MS = 2_000;
/** Longest time of a fetch, in milliseconds. */
export const MAX_FETCH_MS = 10_000;
/** Largest text, in bytes. A configuration has a megabyte at most. */
const MAX_BYTES = 8 * 1024 * 1024;
const OK = 200;

export interface FetchTextOptions {
  readonly clock: Clock;
  readonly from: Pick<EntryAddress, 'ip' | 'port'>;
  readonly path: string;
  /** @default the work with the text is not bounded */
  readonly turns?: ReadTurns | undefined;
  /** @default 2000 */
  readonly maxSilenceMs?: number;
  /** @default 10000 */
  readonly maxFetchMs?: number;
}

/** Resolves to the whole text, or to the reason why there is none. */
export function fetchText(
  options: FetchTextOptions,
): Promise<Either<string, string>> {
  const {clock, turns, from, path} = options;
  const {maxSilenceMs = MAX_SILENCE_MS, maxFetchMs = MAX_FETCH_MS} = options;
  const fetched = new Promise<Either<string, string>>(resolve => {
    const req = request({host: from.ip, port: from.port, path, agent: false});
    let progress = 0;
    let cancelSilence = () => {};
    let cancelTotal = () => {};
    const finish = (result: Either<string, string>): void => {
      cancelSilence();
      cancelTotal();
      resolve(result);
    };
    const end = (cause: string): void => {
      finish(Left(cause));
      req.destroy();
    };
    const awaitBytes = (): void => {
      cancelSilence();
      const seen = ++progress;
      // After a stall the bytes may have come and lie unread.
      cancelSilence = clock.after(maxSilenceMs, () => {
        void untilSocketsRead().then(() => {
          if (progress === seen) end('the peer is silent');
        });
      });
    };
    req.on('error', err => end(err.message));
    // An error of the entry itself ends this fetch only.
    const guard = createGuard(err => end(String(err)));
    const endEndless = () => end('bytes without end');
    const wire = watchWire(req, {
      now: clock.now,
      turns,
      from: {kind: 'peer', name: `${from.ip}:${from.port}`},
      onEndless: endEndless,
      guard,
    });
    const onResponse = (res: IncomingMessage) => {
      const received = createReceivedBytes();
      wire.readBody(res, chunk => {
        awaitBytes();
        received.add(chunk);
        if (received.length() > MAX_BYTES) end('a text without end');
      });
      res.on('error', err => end(err.message));
      res.on('end', () =>
        finish(
          res.statusCode === OK
            ? Right(received.take().toString('utf8'))
            : Left(`status ${res.statusCode}`),
        ),
      );
    };
    req.on('response', guard('answer', onResponse));
    // A switch to another protocol ends the request without an error.
    req.on('upgrade', () => end(NO_FINAL_STATUS));
    guard('start', () => {
      cancelTotal = clock.after(maxFetchMs, () =>
        end('the fetch takes too long'),
      );
      awaitBytes();
      req.end();
    })();
  });
  return fetched.catch(err => Left(String(err)));
}
