/**
 * Complete sessions of each kind, as a caller sees them, compared with golden
 * files.
 */
import {afterAll, beforeAll, expect, it} from 'vitest';
import {KEYS, startSessionFleet} from './support/session_fleet.js';
import type {SessionFleet} from './support/session_fleet.js';
import {exchange, maskVaryingValues} from './support/session_text.js';
import type {Exchange} from './support/session_text.js';

const PRAIRIE_SKY_HEADERS = {
  Authorization: `Bearer ${KEYS['prairie-sky']}`,
  'Content-Type': 'application/json',
};

let fleet: SessionFleet;
beforeAll(async () => {
  fleet = await startSessionFleet();
});
afterAll(() => fleet.close());

function complete(entry: string, body: object, more: object = {}) {
  return exchange(`${fleet.url(entry)}/v1/completions`, {
    method: 'POST',
    headers: PRAIRIE_SKY_HEADERS,
    body: JSON.stringify(body),
    ...more,
  });
}

/** Compares the exchanges and the log events of the first one's request. */
async function expectSessionMatches(
  name: string,
  exchanges: readonly Exchange[],
) {
  const texts = exchanges.map(({text}) => text);
  const events = fleet.eventsOf(exchanges[0]?.requestId ?? '');
  const text = [...texts, ['# events', ...events].join('\n')].join('\n\n');
  await expect(`${maskVaryingValues(text)}\n`).toMatchFileSnapshot(
    `golden/sessions/${name}.txt`,
  );
}

it('streams an answer chunk by chunk', async () => {
  const prompt = 'Summarise station 12 today';
  const streamed = await complete('entry-1', {
    prompt,
    max_tokens: 3,
    stream: true,
  });
  await expectSessionMatches('streamed', [streamed]);
});

it('answers with a single response', async () => {
  const prompt = 'Check isolation sequence 7';
  const whole = await complete('entry-1', {prompt, max_tokens: 3});
  await expectSessionMatches('whole', [whole]);
});

it('forwards a call to a plain service unchanged', async () => {
  const url = `${fleet.url('entry-1')}/v1/services/station-app/alerts?zone=4`;
  const call = {
    method: 'POST',
    headers: {...PRAIRIE_SKY_HEADERS, 'Idempotency-Key': 'alert-1'},
    body: '{"alert":"frost"}',
  };
  const first = await exchange(url, call);
  const again = await exchange(url, call);
  await expectSessionMatches('plain_call', [first, again]);
});

it('refuses unreachable deadlines and invalid requests', async () => {
  const late = await complete(
    'entry-1',
    {prompt: 'archive '.repeat(50_000), max_tokens: 10},
    {headers: {...PRAIRIE_SKY_HEADERS, 'X-Onyxloft-Time-Limit-Ms': '900'}},
  );
  const unknown = await complete('entry-1', {model: 'other', prompt: 'a'});
  const past = await complete(
    'entry-1',
    {prompt: 'a'},
    {headers: {...PRAIRIE_SKY_HEADERS, 'X-Onyxloft-Time-Limit-Ms': '0'}},
  );
  await expectSessionMatches('refusal', [late, unknown, past]);
});

// The connection breaks mid-stream and the caller resumes at another entry,
// which finds the run at its side. Another organisation gets nothing.
it('resumes a broken stream at another entry', async () => {
  const broken = await complete(
    'entry-1',
    {prompt: 'History of unit 3', max_tokens: 25, stream: true},
    {closeAfterEvents: 3},
  );
  const lastId = /id: (\S+)\n[^\n]+\n\n$/.exec(broken.body)?.[1] ?? '';
  const url = `${fleet.url('entry-2')}/v1/requests/${broken.requestId}`;
  const stranger = await exchange(url, {
    method: 'GET',
    headers: {Authorization: `Bearer ${KEYS['ingufu-hamwe']}`},
  });
  const resumed = await exchange(url, {
    method: 'GET',
    headers: {
      Authorization: PRAIRIE_SKY_HEADERS.Authorization,
      Accept: 'text/event-stream',
      'Last-Event-ID': lastId,
    },
  });
  const session = [broken, stranger, resumed].map(({text}) => text);
  await expect(
    `${maskVaryingValues(session.join('\n\n'))}\n`,
  ).toMatchFileSnapshot('golden/sessions/resume.txt');
});

// A draining entry is not ready and refuses new requests as not run. The answer
// in progress must still complete.
it('drains without interrupting an answer', async () => {
  const rest: Exchange[] = [];
  let drained: Promise<void> = Promise.resolve();
  const drain = async () => {
    const operators = fleet.operators('entry-3');
    const Authorization = `Bearer ${fleet.operatorToken}`;
    rest.push(
      await exchange(`${operators}/operator/v1/drain`, {
        method: 'POST',
        headers: {Authorization},
      }),
      await exchange(`${operators}/readyz`, {method: 'GET'}),
      await complete('entry-3', {prompt: 'a', max_tokens: 1}),
    );
  };
  const streamed = await complete(
    'entry-3',
    {prompt: 'Review the season', max_tokens: 40, stream: true},
    {onFirstEvent: () => (drained = drain())},
  );
  await drained;
  await expectSessionMatches('drain', [streamed, ...rest]);
});
