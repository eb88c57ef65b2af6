/** The whole answer, in order, to its own organisation and nobody else. */
import {from, never} from 'most';
import type {Stream} from 'most';
import {expect, describe, test} from 'vitest';
import type {RunEnd} from '../src/types/peer_messages.js';
import type {EngineEvent} from '../src/types/upstream.js';
import {SIDE_EVENTS} from '../src/utils/events.js';
import {createDigest} from '../src/utils/digest.js';
import {answerText} from '../standins/engine_runs.js';
import {createSideRig} from './support/side_rig.js';
import type {EntryChannel} from './support/side_rig.js';

function promptHash(text: string): string {
  const digest = createDigest();
  digest.update(Buffer.from(text));
  return digest.value().slice(0, 8);
}

function expectWhole(channels: readonly EntryChannel[], tokens: number) {
  const chunks = channels.flatMap(channel => channel.chunks());
  expect(chunks.map(chunk => chunk.seq)).toEqual([...chunks.keys()]);
  const text = channels.map(channel => channel.text()).join('');
  expect(text).toBe(answerText(promptHash('prompt r1.0'), tokens));
  const digest = createDigest();
  for (const chunk of chunks) digest.update(chunk.data);
  const end = channels.at(-1)?.last('end') as RunEnd;
  expect(end).toMatchObject({count: chunks.length, digest: digest.value()});
}

describe('an answer', () => {
  test('comes whole with count and digest', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expectWhole([channel], 20);
  });

  test('is taken up by another entry from any chunk on', async () => {
    // The entry dies in mid-stream; its caller asks another entry, which
    // attaches from the next chunk that the caller lacks.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_000);
    const count = first.chunks().length;
    first.silence();
    const second = rig.attach('r1.0', count);
    await rig.clock.runFor(20_000);
    expect(count).toBeGreaterThan(5);
    expectWhole([first, second], 100);
    expect(second.received[0]).toEqual({kind: 'started'});
    const again = rig.attach('r1.0', 0, 'entry-3');
    await rig.clock.runFor(1_000);
    expectWhole([again], 100);
  });

  test('is not waited for on a channel whose attach was lost', async () => {
    // An entry takes a run up, and its attach is lost under way. Both ends go
    // on to beat, so neither sees silence, and a run taken up has no time limit
    // at the entry: its caller would wait for ever. The side closes a channel
    // without a run, and the entry attaches on another.
    const rig = await createSideRig();
    const channel = rig.open();
    await rig.clock.runFor(2_000);
    expect(channel.isClosed()).toBe(false);
    await rig.clock.runFor(3_000);
    expect(channel.isClosed()).toBe(true);
  });

  test('stays with the entry that its caller moved to', async () => {
    // The caller resumes at entry 2 while entry 1 still lives. Entry 1 sees its
    // channel break and attaches again, as after any silence. It is told that
    // the run is another's, and the caller's new answer goes on.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 200});
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_000);
    const second = rig.attach('r1.0', 0);
    await rig.clock.runFor(100);
    expect(first.last('failed')).toMatchObject({code: 'superseded'});
    const back = rig.attach('r1.0', 0, 'entry-1');
    await rig.clock.runFor(20_000);
    expect(back.last('failed')).toMatchObject({code: 'superseded'});
    expectWhole([second], 200);
  });

  test('is hidden from another organisation as if it were not there', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(300);
    const other = rig.attach('r1.0', 0, 'entry-2', 'org-b');
    const none = rig.attach('r9.0', 0, 'entry-2', 'org-b');
    await rig.clock.runFor(300);
    const told = (channel: EntryChannel) => ({
      ...channel.last('failed'),
      dispatchId: '',
    });
    expect(told(other)).toEqual(told(none));
    expect(other.received).toHaveLength(1);
    expect(
      await rig.answer(
        rig.handlers().locate?.({requestId: 'r1', organisation: 'org-b'}),
      ),
    ).toMatchObject({state: 'none'});
    expect(
      await rig.answer(
        rig.handlers().locate?.({requestId: 'r1', organisation: 'org-a'}),
      ),
    ).toMatchObject({state: 'running', dispatchId: 'r1.0'});
  });

  test('goes on when the entry comes back on a new connection', async () => {
    // The channel goes silent: nothing arrives, nothing tells of an error. The
    // side closes it after the silence, and the run is not touched.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 400});
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_000);
    first.silence();
    await rig.clock.runFor(5_000);
    expect(first.isClosed()).toBe(true);
    const second = rig.attach('r1.0', first.chunks().length, 'entry-1');
    await rig.clock.runFor(20_000);
    expectWhole([first, second], 400);
  });
});

describe('an engine stream', () => {
  test('that breaks is taken up from the next token', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(700);
    rig.engine.cut();
    await rig.clock.runFor(400);
    rig.engine.cut();
    await rig.clock.runFor(10_000);
    expectWhole([channel], 100);
    expect(rig.starts('r1.0')).toBe(1);
  });

  test('that goes silent is taken up on a new connection', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 300});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(700);
    rig.engine.silenceOpen();
    await rig.clock.runFor(15_000);
    expectWhole([channel], 300);
  });

  test('with copies and a gap gives each token once and in order', async () => {
    // A faulty connection repeats a token and then skips one. To pass it on
    // would double or cut the answer under a digest that says it is whole.
    const faulty = (stream: Stream<EngineEvent>) =>
      stream
        .chain(event => from([event, event]))
        .filter(event => !(event.kind === 'tokens' && event.index === 9));
    const rig = await createSideRig({
      wrapEngine: engine => ({
        ...engine,
        start: (req, prompt) => faulty(engine.start(req, prompt)),
      }),
    });
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expectWhole([channel], 20);
    const broken = rig.eventsOf(SIDE_EVENTS.streamBroken);
    expect(broken.map(line => line.fields.nextToken)).toEqual([9]);
  });

  test('without any event is taken up though its client says nothing', async () => {
    const rig = await createSideRig({
      wrapEngine: engine => ({
        ...engine,
        start: (req, prompt) => {
          void engine.start(req, prompt).drain();
          return never();
        },
      }),
    });
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(20_000);
    expectWhole([channel], 20);
  });

  test('of an engine that died fails as run, within bounded tries', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 500});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(700);
    rig.model.die();
    await rig.clock.runFor(6_000);
    expect(channel.last('failed')).toMatchObject({
      ran: 'yes',
      code: 'upstream-lost',
    });
    rig.model.restart();
    await rig.clock.runFor(12_000);
    expect((await rig.status()).reservedTokens).toBe(0);
    expect(await rig.offer('r2.0')).toMatchObject({kind: 'accepted'});
  });
});

describe('a run whose engine takes no connection', () => {
  test('fails at once as not run, so that another engine may serve it', async () => {
    // The engine dies between the accepted offer and the go. The caller's
    // request may not be repeated; since the connection was refused no byte
    // of it left the side, and the entry may offer it elsewhere.
    const rig = await createSideRig();
    await rig.offer('r1.0', {repeatable: false});
    rig.model.die();
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(200);
    expect(channel.last('failed')).toMatchObject({ran: 'no'});
    rig.model.restart();
    await rig.clock.runFor(10_000);
    expect(rig.starts('r1.0')).toBe(0);
    expect((await rig.status()).reservedTokens).toBe(0);
  });
});

describe('a prompt', () => {
  test('with doubled and reordered frames arrives as it was sent', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.go('r1.0');
    const put = (seq: number, text: string) =>
      channel.send({kind: 'prompt', seq, data: Buffer.from(text)});
    put(1, 'mpt ');
    put(0, 'pro');
    put(1, 'XXXX');
    channel.send({kind: 'prompt-end', count: 3});
    put(2, 'r1.0');
    put(0, 'XXXX');
    await rig.clock.runFor(5_000);
    expectWhole([channel], 20);
  });

  test('with a gap fails as not run, and stays so', async () => {
    // A frame is lost. Had the run been started while the prompt came in, the
    // side could no longer say that it had not run.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.go('r1.0');
    channel.send({kind: 'prompt', seq: 0, data: Buffer.from('a')});
    channel.send({kind: 'prompt', seq: 2, data: Buffer.from('c')});
    channel.send({kind: 'prompt-end', count: 3});
    await rig.clock.runFor(3_000);
    expect(channel.last('failed')).toMatchObject({
      ran: 'no',
      code: 'prompt-incomplete',
    });
    channel.send({kind: 'prompt', seq: 1, data: Buffer.from('b')});
    await rig.clock.runFor(3_000);
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('whose channel breaks in the middle fails as not run', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.go('r1.0');
    channel.send({kind: 'prompt', seq: 0, data: Buffer.from('a')});
    channel.close();
    await rig.clock.runFor(100);
    expect(await rig.stateOf('r1.0')).toBe('failed');
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'never-started'});
    const back = rig.attach('r1.0', 0, 'entry-1');
    await rig.clock.runFor(100);
    expect(back.last('failed')).toMatchObject({ran: 'no'});
  });
});
