/**
 * Callers of the soak of silent replicas. Each uses one kept connection, also
 * while its entry stops, until the entry closes it or is gone.
 */
import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import type {EntryProcess} from '../entry_process.js';
import {SECOND_KEY} from './silence_config.js';
import {DEADLINE_MS} from './silence_judge.js';
import type {Ended, Kind} from './silence_judge.js';

const CALLERS = 24;
/** Long streams wait for each other's memory, so few callers send them. */
const LONG_CALLERS = 2;
/** One caller in so many uses the key that is added and removed. */
const SECOND_KEY_EVERY = 4;
const PAUSE_MS = 50;
/** Callers begin spread over this time, and so do not stay in step. */
const BEGIN_SPREAD_MS = 4_000;
/** After an answer without success, or none. */
const FAILED_PAUSE_MS = 300;
const OK = 200;
/** A caller that has no end by then leaves; the judge says so. */
const HANG_MS = 20_000;

const PATHS: {readonly [K in Kind]: string} = {
  stream: '/stream/a',
  pair: '/pair/a',
  long: '/long/a',
  once: '/once/a',
};
/** Prompt and answer in tokens; the long one needs a group of engines. */
const USAGE: {readonly [K in Kind]: string | undefined} = {
  stream: '1000,100',
  pair: '1000,100',
  long: '1200000,100',
  once: undefined,
};

export interface CallersShape {
  /** Whether some send prompts that need a group of engines. */
  readonly sendLong: boolean;
  /** Whether there is the service of two engines. */
  readonly sendPair: boolean;
  /** Whether the newest configuration has the second key. */
  hasSecondKey(): boolean;
}

type Asked = Pick<Ended, 'id' | 'kind' | 'entry' | 'key'>;

/** All callers; resolves when the run is over and all answers have ended. */
export async function callInSeries(
  entries: readonly EntryProcess[],
  {sendLong, sendPair, hasSecondKey}: CallersShape,
  onEnd: (ended: Ended) => void,
  isOver: () => boolean,
): Promise<void> {
  let sent = 0;
  const callers = Math.max(CALLERS, entries.length);
  const call = async (caller: number): Promise<void> => {
    const entry = caller % entries.length;
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const usesSecondKey = caller % SECOND_KEY_EVERY === 1;
    const isLong = sendLong && caller < LONG_CALLERS;
    const streams: readonly Kind[] = [
      isLong ? 'long' : 'stream',
      ...(sendPair ? (['pair'] as const) : []),
    ];
    const cycle = streams.flatMap((kind): Kind[] => ['once', kind]);
    await sleep((BEGIN_SPREAD_MS * caller) / callers);
    while (!isOver()) {
      for (const kind of [...cycle, 'once'] as const) {
        if (isOver()) break;
        const key = usesSecondKey && hasSecondKey() ? SECOND_KEY : KEY;
        const id = `${kind}-${++sent}-at-${entry}`;
        const asked = {id, kind, entry, key};
        const ended = await send(entries[entry].callers, agent, asked);
        onEnd(ended);
        if (ended.status !== OK) await sleep(FAILED_PAUSE_MS);
      }
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  };
  await Promise.all(Array.from({length: callers}, (_, at) => call(at)));
}

function send(address: string, agent: Agent, asked: Asked): Promise<Ended> {
  const [host, port] = address.split(':');
  const {kind, id, key} = asked;
  let sentAt = performance.now();
  const usage = USAGE[kind];
  return new Promise(resolve => {
    let wasConnected = false;
    let status: number | undefined;
    let body = '';
    let isWhole = false;
    let firstEventAt: number | undefined;
    let lastEventAt = 0;
    let longestPauseMs = 0;
    const end = () => {
      clearTimeout(hang);
      resolve({
        ...asked,
        wasConnected,
        sentAt,
        endedAt: performance.now(),
        firstEventAt,
        longestPauseMs,
        status,
        body,
        isWhole,
      });
    };
    const req = request({
      host,
      port,
      path: PATHS[kind],
      method: 'POST',
      agent,
      headers: {
        Host: HOST,
        'X-Request-Id': id,
        Authorization: `Token ${key}`,
        'X-Deadline-Ms': String(DEADLINE_MS),
        ...(usage === undefined ? {} : {'X-Token-Usage': usage}),
      },
    });
    const hang = setTimeout(() => req.destroy(new Error('hangs')), HANG_MS);
    req.on('socket', socket => {
      const onConnect = () => {
        wasConnected = true;
        sentAt = performance.now();
      };
      if (socket.connecting) socket.once('connect', onConnect);
      else onConnect();
    });
    req.on('response', res => {
      status = res.statusCode;
      res.on('data', (piece: Buffer) => {
        body += piece.toString('utf8');
        if (status !== OK) return;
        const now = performance.now();
        if (firstEventAt !== undefined) {
          longestPauseMs = Math.max(longestPauseMs, now - lastEventAt);
        }
        firstEventAt ??= now;
        lastEventAt = now;
      });
      res.on('error', () => undefined);
      res.on('close', () => {
        isWhole = res.complete;
        end();
      });
    });
    req.on('error', () => status === undefined && end());
    req.end('a prompt');
  });
}
