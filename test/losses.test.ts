/** Where requests were lost, from the entries' logs. */
import {describe, expect, test} from 'vitest';
import {kindsOf, lossesOf} from '../bench/losses.js';

const KINDS = kindsOf('short=24000:300:250,long=:4000:1000') ?? [];

function line(requestId: string, event: number, fields: object): string {
  const time = `2026-01-01T00:00:00.${event}Z`;
  return `host-1 ${JSON.stringify({time, event, name: '', node: 'e', requestId, ...fields})}`;
}

const sent = (id: string, promptTokens: number, firstEventMs = 100) =>
  line(id, 251, {promptTokens, firstEventMs, waitedMs: 5});
const answered = (id: string, firstEventMs: number, longestPauseMs: number) =>
  line(id, 252, {status: 200, firstEventMs, longestPauseMs});

describe('the losses of a run', () => {
  test('count each request once, by kind and cause', () => {
    const logs = [
      sent('a', 5_000),
      answered('a', 120, 90),
      sent('b', 5_000),
      answered('b', 400, 90),
      sent('c', 900_000, 4_200),
      answered('c', 4_300, 90),
      sent('d', 5_000),
      line('d', 253, {reason: 'silent'}),
      answered('d', 120, 900),
      line('e', 250, {status: 503, message: 'the configuration may be old'}),
      line('f', 254, {reason: 'late for its cost', ran: 'no'}),
      sent('g', 5_000),
      'not a log line',
    ].join('\n');
    const rows = lossesOf(logs, KINDS);
    expect(rows.map(({kind, outcome}) => `${kind}: ${outcome}`).sort()).toEqual(
      [
        'call, or not sent: given up: late for its cost',
        'call, or not sent: refused: the configuration may be old',
        'long: first event late, as expected when it was sent',
        'short: first event late, held up',
        'short: in time',
        'short: no end: its entry died',
        'short: pause late, tried again',
      ],
    );
    const whole = rows.reduce((sum, {share}) => sum + share, 0);
    expect(whole).toBeCloseTo(1);
  });

  test.each(['', 'short', 'short=1:2', 'short=a:1:2'])(
    'are not counted for kinds %j',
    text => {
      expect(kindsOf(text)).toBeUndefined();
    },
  );
});
