/**
 * Callers that send odd bytes: heads, framings, several requests at once,
 * tunnels, upgrades, half-closes and resets at any byte, slow heads.
 */
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {changeText, oddNumber} from './draws.js';
import type {Draw} from './draws.js';

const METHODS = [
  'GET',
  'HEAD',
  'PUT',
  'OPTIONS',
  'TRACE',
  'CONNECT',
  'PRI',
  'SOURCE',
  'get',
  'M-SEARCH',
  'X'.repeat(300),
  '',
  '\u0000',
];
const TARGETS = [
  '*',
  '/',
  '//',
  '/%00',
  '/%zz',
  '/../again/',
  '/again/../../x',
  '/again/?%',
  '/again/\u0080\u00ff',
  '/again/ x',
  'http://other/again/',
  'http://[::1/again/',
  'models.example:443',
  'again',
  `/again/${'a'.repeat(9_000)}`,
  '/__proto__/',
];
const VERSIONS = ['HTTP/1.0', 'HTTP/2.0', 'HTTP/0.9', 'HTTP/9.9', 'HTTP/', ''];
const PATHS = [
  '/again/x',
  '/once/x',
  '/stream/x',
  '/odd-call/x',
  '/odd-stream/x',
];
const HEADER_LINES = [
  'Expect: 100-continue',
  'Expect: x',
  'Expect: 100-continue, x',
  'Upgrade: websocket',
  'Upgrade: h2c',
  'HTTP2-Settings: AAMAAABkAAQAAP__',
  'Connection: upgrade',
  'Connection: close',
  'Connection: keep-alive, X-Request-Id',
  'Connection: X-Deadline-Ms',
  'Host: other',
  'Host: ',
  'Host: \u00ff',
  'X-Request-Id: ',
  'X-Request-Id: twice',
  `X-Request-Id: ${'i'.repeat(2_000)}`,
  'X-Request-Id: \u0080\u00ff',
  'Authorization: Token ',
  'Authorization: \u00ff',
  'Authorization: Token __proto__',
  'X-Prompt-Prefix: ,:,',
  'X-Prompt-Prefix: zz:1',
  'X-Prompt-Prefix: a:-1,b:1e400,c:9007199254740993',
  `X-Prompt-Prefix: ${'a:1,'.repeat(900)}`,
  'X-Helpers: 1.2.3.4:99999',
  'X-Expect-Replica: __proto__',
  'X-Expect-Version: x',
  'X-Model: \u00ff',
  'Range: bytes=-1',
  'Content-Encoding: gzip',
  'Trailer: X-Request-Id',
  'TE: trailers',
  'no colon',
  ' folded',
  'X-Nul: \u0000',
  `X-Long: ${'y'.repeat(5_000)}`,
  '__proto__: 1',
];
const NUMBERED = [
  'X-Deadline-Ms',
  'Last-Event-Id',
  'X-Length-Hint',
  'X-Token-Usage',
  'X-Request-Priority',
  'Content-Length',
  'Keep-Alive',
];
const SIZES = ['zz', '-1', '0x5', 'f'.repeat(17), '5;a="', '5 5', '', '00000'];
const LONGEST_MS = 3_000;
const SLOW_GAP_MS = 40;
const MOST_SLOW = 30;

/** Sends one connection's bytes, and ends it. */
export async function sendOddBytes(
  address: string,
  draw: Draw,
  nextId: () => string,
): Promise<void> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  socket.on('error', () => undefined);
  if (draw.chance(0.8)) socket.resume();
  const closed = new Promise<void>(resolve => {
    socket.once('close', () => resolve());
  });
  const count = draw.chance(0.3) ? 1 + draw.below(12) : 1;
  const texts = Array.from({length: count}, () => drawRequest(draw, nextId()));
  const whole = texts.join('');
  const isCut = draw.chance(0.3);
  const text = isCut ? whole.slice(0, draw.below(whole.length)) : whole;
  const bytes = Buffer.from(text, 'latin1');
  if (draw.chance(0.15)) {
    const slow = Math.min(bytes.length, draw.below(MOST_SLOW));
    for (let at = 0; at < slow; at++) {
      socket.write(bytes.subarray(at, at + 1));
      await sleep(SLOW_GAP_MS);
    }
    socket.write(bytes.subarray(slow));
  } else socket.write(bytes);
  if (draw.chance(0.25)) socket.end();
  else if (draw.chance(0.4)) {
    await sleep(draw.below(60));
    socket.resetAndDestroy();
  }
  const lateMs = draw.chance(0.1) ? LONGEST_MS : 50 + draw.below(600);
  await Promise.race([closed, sleep(lateMs)]);
  // Also while an answer still comes.
  if (draw.chance(0.5)) socket.resetAndDestroy();
  else socket.destroy();
}

function drawRequest(draw: Draw, id: string): string {
  if (draw.chance(0.08)) return draw.bytes(1 + draw.below(200));
  const oddly = <T>(plain: T, odd: readonly T[], share: number): T =>
    draw.chance(share) ? draw.one(odd) : plain;
  const line = [
    oddly('POST', METHODS, 0.25),
    oddly(draw.one(PATHS), TARGETS, 0.25),
    oddly('HTTP/1.1', VERSIONS, 0.1),
  ].join(' ');
  const added = Array.from({length: draw.below(4)}, () =>
    draw.chance(0.4)
      ? `${draw.one(NUMBERED)}: ${oddNumber(draw)}`
      : draw.one(HEADER_LINES),
  );
  const {lines, body} = drawBody(draw);
  const head = [
    line,
    ...(draw.chance(0.95) ? [`Host: ${HOST}`] : []),
    ...(draw.chance(0.9) ? [`X-Request-Id: ${id}`] : []),
    `Authorization: Token ${KEY}`,
    ...(draw.chance(0.8) ? ['X-Deadline-Ms: 2000'] : []),
    ...(draw.chance(0.6) ? ['X-Token-Usage: 1000,100'] : []),
    ...added,
    ...lines,
  ].join('\r\n');
  const text = `${head}\r\n\r\n${body}`;
  return draw.chance(0.15) ? changeText(draw, text) : text;
}

function drawBody(draw: Draw): {lines: readonly string[]; body: string} {
  const chunked = ['Transfer-Encoding: chunked'];
  const size = draw.one(SIZES);
  return draw.one<{lines: readonly string[]; body: string}>([
    {lines: ['Content-Length: 8'], body: 'a prompt'},
    {lines: ['Content-Length: 8'], body: 'a prompt'},
    {lines: chunked, body: '8\r\na prompt\r\n0\r\n\r\n'},
    {lines: [], body: ''},
    {lines: [], body: 'a prompt'},
    {lines: ['Content-Length: 9'], body: 'a prompt'},
    {lines: ['Content-Length: 8', 'Content-Length: 3'], body: 'a prompt'},
    {lines: ['Content-Length: 8', ...chunked], body: 'a prompt'},
    {lines: ['Transfer-Encoding: gzip'], body: 'a prompt'},
    {lines: ['Content-Length: 99999999'], body: 'a prompt'},
    {lines: chunked, body: `8\r\na prompt\r\n${size}\r\n\r\n`},
    {lines: chunked, body: `${size}\r\na prompt\r\n0\r\n\r\n`},
    {
      lines: chunked,
      body: `8\r\na prompt\r\n0\r\nX-Trailer: 1\r\n${size}\r\n\r\n`,
    },
    {lines: chunked, body: '1\r\na\r\n'.repeat(300)},
    {lines: ['Content-Length: 20000'], body: 'x'.repeat(20_000)},
  ]);
}
