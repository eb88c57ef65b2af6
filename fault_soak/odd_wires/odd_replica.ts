/** A replica whose answers are odd, and what it sent, for the judge. */
import {eventText} from '../../standins/users_platform/replica.js';
import {changeText} from './draws.js';
import type {Draw} from './draws.js';
import {drawAnswer} from './odd_answers.js';
import type {OddAnswer} from './odd_answers.js';
import {startOddServer} from './odd_server.js';
import type {Asked} from './odd_server.js';

/** Events of a whole stream. */
export const STREAM_EVENTS = 8;
const ODD_EVENTS_SHARE = 0.25;
const REPORT =
  '{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"waiting":1,"running":1,"kvUsed":41000,"kvTotal":90000,"handles":0,"pace":1,"born":7,"tickets":[{"id":"t","tokens":5,"state":"held","ageMs":1}]}';

/** An answer to a request, as an odd replica sent it. */
export interface SentAnswer extends Pick<
  OddAnswer,
  'status' | 'isHeadWrong' | 'isCut' | 'isNotRun' | 'head'
> {
  /** Stands in its body, so that it is known wherever it comes out. */
  readonly number: number;
  readonly id: string;
  readonly body: string;
  /** Its events are not those of a sound stream. */
  readonly hasOddEvents: boolean;
}

export interface OddReplica {
  readonly name: string;
  /** IP:PORT. */
  readonly address: string;
  close(): Promise<void>;
}

export interface OddReplicaShape {
  readonly name: string;
  readonly ip: string;
  readonly draw: Draw;
  /** Whether it may leave a request without an end. */
  readonly mayStall: boolean;
  /** It answers well otherwise. */
  isOdd(): boolean;
  onSent(sent: SentAnswer): void;
  nextNumber(): number;
}

export async function startOddReplica(
  shape: OddReplicaShape,
): Promise<OddReplica> {
  const {name, ip, draw, mayStall, isOdd, onSent, nextNumber} = shape;
  const answer = (asked: Asked): OddAnswer => {
    const {id, path} = asked;
    if (path.startsWith('/api/')) return answerState(draw, asked, isOdd());
    const isStream = path.includes('stream');
    const number = nextNumber();
    const sound = isStream
      ? eventsOf(number, asked.lastEvent)
      : `odd answer ${number} to ${id}`;
    const hasOddEvents = isOdd() && isStream && draw.chance(ODD_EVENTS_SHARE);
    const body = hasOddEvents ? changeText(draw, sound) : sound;
    const lines = [
      `X-Response-Seal: seal-${id}`,
      `X-Request-Id: ${id}`,
      ...(isStream ? ['Content-Type: text/event-stream'] : []),
    ];
    const drawn = isOdd()
      ? drawAnswer(draw, {lines, body, mayStall})
      : plainAnswer(lines, body);
    const {status, isHeadWrong, isCut, isNotRun, head} = drawn;
    const facts = {status, isHeadWrong, isCut, isNotRun, head};
    onSent({...facts, number, id, body, hasOddEvents});
    return drawn;
  };
  const server = await startOddServer(ip, answer);
  return {name, address: `${ip}:${server.port}`, close: server.close};
}

function answerState(draw: Draw, {path}: Asked, isOdd: boolean): OddAnswer {
  const lines = ['Content-Type: application/json'];
  const sound = path === '/api/report' ? REPORT : '{"free":0}';
  if (!isOdd) return plainAnswer(lines, sound);
  const body = draw.chance(0.5) ? changeText(draw, sound) : sound;
  return drawAnswer(draw, {lines, body, mayStall: true});
}

function eventsOf(number: number, after: number): string {
  const ids = Array.from({length: STREAM_EVENTS}, (_, at) => at + 1);
  return ids
    .filter(id => id > after)
    .map(id => eventText(id).replace('piece', `odd ${number} piece`))
    .join('');
}

/** Nothing of it is odd. */
export function plainAnswer(
  lines: readonly string[],
  body: string,
  status = 200,
): OddAnswer {
  const length = `Content-Length: ${body.length}`;
  const head = [`HTTP/1.1 ${status} OK`, ...lines, length].join('\r\n');
  return {
    text: `${head}\r\n\r\n${body}`,
    ends: 'keep',
    isEarly: false,
    delayMs: 0,
    pieces: 1,
    status,
    isHeadWrong: false,
    isCut: false,
    isNotRun: false,
    head,
  };
}
