/**
 * Draws answers with anything odd about them: status, status line, header lines,
 * framing, bytes before and behind, the byte at which they break off.
 */
import type {Draw} from './draws.js';

export interface AnswerParts {
  /** Header lines that a sound answer has. */
  readonly lines: readonly string[];
  readonly body: string;
  /** Whether it may leave its reader without the rest. */
  readonly mayStall: boolean;
}

export interface OddAnswer {
  /** Latin-1. */
  readonly text: string;
  readonly ends: 'keep' | 'fin' | 'rst';
  /** It is sent before the request has come whole. */
  readonly isEarly: boolean;
  readonly delayMs: number;
  /** It is sent in so many pieces. */
  readonly pieces: number;
  /** Undefined where no status can be read. */
  readonly status: number | undefined;
  /** No reader may take its head for a sound one. */
  readonly isHeadWrong: boolean;
  /** No reader may take it for a whole answer with this body. */
  readonly isCut: boolean;
  /** It states that the request has not run. */
  readonly isNotRun: boolean;
  /** Some of its head, for reports. */
  readonly head: string;
}

const STATUSES = [
  0, 1, 99, 100, 101, 102, 103, 199, 200, 201, 204, 205, 206, 226, 299, 300,
  304, 400, 404, 408, 410, 421, 429, 500, 502, 503, 504, 599, 600, 700, 999,
];
const STATUS_LINES = [
  'HTTP/1.0 200 OK',
  'HTTP/2 200',
  'HTTP/1.1 200',
  'HTTP/1.1 2000 OK',
  'HTTP/1.1 20 OK',
  'HTTP/1.1  200 OK',
  'HTTP/1.1 -20 OK',
  'HTTP/1.1 +20 OK',
  'HTTP/1.1 OK',
  'HTTP/9.9 200 OK',
  'ICY 200 OK',
  'GET / HTTP/1.1',
  '',
  '\u0000',
];
const CODED = 'Content-Encoding: gzip';
const NOT_RUN = 'X-Not-Executed: 1';
const HEADER_LINES = [
  CODED,
  NOT_RUN,
  'no colon',
  ': no name',
  ' folded: 1',
  'X-Nul: \u0000',
  'X-Bytes: \u0080\u00ff',
  '\u00ff: 1',
  'X Space: 1',
  `X-Long: ${'y'.repeat(20_000)}`,
  `${'n'.repeat(3_000)}: 1`,
  'Retry-After: -1',
  'Retry-After: 1e400',
  'Retry-After: soon',
  'Keep-Alive: timeout=-1',
  'Keep-Alive: timeout=99999999999',
  'Keep-Alive: \u00e9',
  'Connection: upgrade',
  'Connection: X-Response-Seal, X-Request-Id',
  'Connection: close',
  'Connection: ,,',
  'Upgrade: websocket',
  'X-Replica-Load: 1e400,-1,NaN',
  'X-Replica-Load: ,',
  'X-Weight-Versions: -1',
  'X-Weight-Versions: 1,1,1,1,1,1,1,1,1,1,1,1',
  'Server-Limit: -1',
  'Server-Limit: 1e400',
  'Server-Limit: 0',
  'Server-Leaving: \u00ff',
  'X-Cold-Ms: -1',
  'X-Cold-Ms: 1e400',
  'At-Server: __proto__',
  'Trailer: X-Response-Seal',
  'Set-Cookie: a=1',
  'Set-Cookie: a=1',
  'Content-Type: \u00ff',
  'Date: 0',
  'Store-Era: x',
  'Store-Era: -1',
  '__proto__: 1',
  'constructor: 1',
];
const INTERIM = [
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 102 Processing\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
  'HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n',
  'HTTP/1.1 199 Odd\r\nX-Response-Seal: s\r\n\r\n',
  'HTTP/1.1 100 Continue\r\n\r\n'.repeat(50),
  '\r\n\r\n',
];
const ODD_STATUS_SHARE = 0.45;
const ODD_LINES_SHARE = 0.35;
const ODD_FRAMING_SHARE = 0.25;
const ODD_LINE_SHARE = 0.05;
const INTERIM_SHARE = 0.12;
const SURPLUS_SHARE = 0.12;
const CUT_SHARE = 0.2;
const EARLY_SHARE = 0.15;
const LATE_SHARE = 0.15;
const LATEST_MS = 300;
const MOST_HEAD_LINES = 8;
const MOST_HEAD = 300;

interface Framed {
  readonly lines: readonly string[];
  readonly text: string;
  /** It lacks its end. */
  readonly isCut: boolean;
  /** It ends with its connection. */
  readonly isOpen: boolean;
}

const chunk = (text: string, size = text.length.toString(16)) =>
  `${size}\r\n${text}\r\n`;

function frameWell(draw: Draw, body: string): Framed {
  const whole = {isCut: false, isOpen: false};
  const lines = [`Content-Length: ${body.length}`];
  if (draw.chance(0.4)) return {...whole, lines, text: body};
  if (draw.chance(0.3)) {
    return {...whole, lines: ['Connection: close'], text: body, isOpen: true};
  }
  const at = 1 + draw.below(Math.max(1, body.length - 1));
  const chunks = [body.slice(0, at), body.slice(at)].filter(it => it !== '');
  const text = `${chunks.map(it => chunk(it)).join('')}${chunk('', '0')}`;
  return {...whole, lines: ['Transfer-Encoding: chunked'], text};
}

function frameOddly(draw: Draw, body: string): Framed {
  const cut = {isCut: true, isOpen: false};
  const either = {isCut: false, isOpen: false};
  const chunked = ['Transfer-Encoding: chunked'];
  const length = `Content-Length: ${body.length}`;
  const end = chunk('', '0');
  const longer = `Content-Length: ${body.length + 1 + draw.below(9)}`;
  const size = draw.one(['zz', '-1', '0x5', ' 5', 'f'.repeat(20), '5 5', '']);
  return draw.one<Framed>([
    {...cut, lines: [longer], text: body},
    {...cut, lines: chunked, text: chunk(body)},
    {...cut, lines: chunked, text: chunk(body, size)},
    {...cut, lines: chunked, text: `${chunk(body)}${chunk('', size)}`},
    {...either, lines: chunked, text: `${chunk(body)}0\r\nX-T: 1\r\n\r\n`},
    {...either, lines: chunked, text: `${chunk(body)}0\r\n\u0000\r\n\r\n`},
    {
      ...either,
      lines: chunked,
      text: `${chunk(body, `${body.length.toString(16)};a="\u00ff"`)}${end}`,
    },
    {...either, lines: [length, length], text: body},
    {...either, lines: [length, ...chunked], text: `${chunk(body)}${end}`},
    {...cut, lines: [length, 'Content-Length: 1'], text: body},
    {...cut, lines: ['Content-Length: -1'], text: body},
    {...cut, lines: ['Content-Length: 1e3'], text: body},
    {...cut, lines: ['Content-Length: 99999999999999999999'], text: body},
    {...cut, lines: ['Transfer-Encoding: gzip, chunked'], text: chunk(body)},
    {...cut, lines: ['Transfer-Encoding: gzip'], text: body},
  ]);
}

export function drawAnswer(draw: Draw, parts: AnswerParts): OddAnswer {
  const isStatusOdd = draw.chance(ODD_STATUS_SHARE);
  const drawn = draw.chance(0.5) ? draw.below(1_000) : draw.one(STATUSES);
  const status = isStatusOdd ? drawn : 200;
  const hasOddLine = draw.chance(ODD_LINE_SHARE);
  const plainLine = `HTTP/1.1 ${String(status).padStart(3, '0')} Odd`;
  const statusLine = hasOddLine ? draw.one(STATUS_LINES) : plainLine;
  const added = draw.chance(ODD_LINES_SHARE)
    ? Array.from({length: 1 + draw.below(3)}, () => draw.one(HEADER_LINES))
    : [];
  const kept = parts.lines.filter(() => !draw.chance(0.04));
  const framed = draw.chance(ODD_FRAMING_SHARE)
    ? frameOddly(draw, parts.body)
    : frameWell(draw, parts.body);
  const head = [
    statusLine,
    ...shuffled(draw, [...kept, ...added]),
    ...framed.lines,
  ];
  const interim = draw.chance(INTERIM_SHARE) ? draw.one(INTERIM) : '';
  const answer = `${head.join('\r\n')}\r\n\r\n${framed.text}`;
  const surplus = draw.one([answer, draw.bytes(30), 'HTTP/1.1 200 OK\r\n\r\n']);
  const behind = draw.chance(SURPLUS_SHARE) ? surplus : '';
  const isCutOff = draw.chance(CUT_SHARE);
  const whole = `${interim}${answer}${behind}`;
  const text = isCutOff
    ? whole.slice(0, draw.below(interim.length + answer.length))
    : whole;
  const isFinal = status >= 200 && status <= 599;
  const mustEnd =
    !parts.mayStall && (isCutOff || framed.isCut || !isFinal || hasOddLine);
  const ends = draw.one(
    mustEnd || framed.isOpen
      ? (['fin', 'rst'] as const)
      : (['keep', 'keep', 'keep', 'fin', 'rst'] as const),
  );
  return {
    text,
    ends,
    isEarly: draw.chance(EARLY_SHARE),
    delayMs: draw.chance(LATE_SHARE) ? draw.below(LATEST_MS) : 0,
    pieces: draw.chance(0.3) ? 1 + draw.below(6) : 1,
    status: hasOddLine ? undefined : status,
    isHeadWrong: (!isFinal && !hasOddLine) || added.includes(CODED),
    head: head.slice(0, MOST_HEAD_LINES).join(' | ').slice(0, MOST_HEAD),
    isCut: isCutOff || framed.isCut || (framed.isOpen && ends === 'rst'),
    isNotRun: added.includes(NOT_RUN) || (status === 421 && !hasOddLine),
  };
}

function shuffled<T>(draw: Draw, all: readonly T[]): readonly T[] {
  return all
    .map(item => ({item, at: draw.below(1e6)}))
    .sort((a, b) => a.at - b.at)
    .map(({item}) => item);
}
