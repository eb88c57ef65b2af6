/** Answers arrive complete, in order, and only at their own organisation. */
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

function expectComplete(channels: readonly EntryChannel[], tokens: number) {
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
  test('arrives complete with chunk count and digest', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expectComplete([channel], 20);
  });

  test('can be resumed by another entry from any chunk', async () => {
    // The first entry fails in mid-stream. The caller resumes at another entry,
    // which attaches from the first chunk that the caller lacks.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_000);
    const count = first.chunks().length;
    first.silence();
    const second = rig.attach('r1.0', count);
    await rig.clock.runFor(20_000);
    expect(count).toBeGreaterThan(5);
    expectComplete([first, second], 100);
    expect(second.received[0]).toEqual({kind: 'started'});
    const again = rig.attach('r1.0', 0, 'entry-3');
    await rig.clock.runFor(1_000);
    expectComplete([again], 100);
  });

  test('is not awaited forever on a channel whose attach was lost', async () => {
    // Both ends keep sending heartbeats, so neither detects silence. The side
    // must close a channel without a run, or the caller would wait forever.
    const rig = await createSideRig();
    const channel = rig.open();
    await rig.clock.runFor(2_000);
    expect(channel.isClosed()).toBe(false);
    await rig.clock.runFor(3_000);
    expect(channel.isClosed()).toBe(true);
  });

  test('stays with the entry at which its caller resumed', async () => {
    // Entry 1 is still alive, sees its channel break and attaches again. It
    // must be told that entry 2 owns the run, and the answer continues there.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 200});
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_000);
    const second = rig.attach('r1.0', 0);
    await rig.clock.runFor(100);
    expect(first.last('failed')).toMatchObject({code: 'superseded'});
    const reattached = rig.attach('r1.0', 0, 'entry-1');
    await rig.clock.runFor(20_000);
    expect(reattached.last('failed')).toMatchObject({code: 'superseded'});
    expectComplete([second], 200);
  });

  test('is reported as not found to another organisation', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(300);
    const other = rig.attach('r1.0', 0, 'entry-2', 'org-b');
    const none = rig.attach('r9.0', 0, 'entry-2', 'org-b');
    await rig.clock.runFor(300);
    const failureOf = (channel: EntryChannel) => ({
      ...channel.last('failed'),
      dispatchId: '',
    });
    expect(failureOf(other)).toEqual(failureOf(none));
    expect(other.received).toHaveLength(1);
    expect(
      await rig.awaitReply(
        rig.handlers().locate?.({requestId: 'r1', organisation: 'org-b'}),
      ),
    ).toMatchObject({state: 'none'});
    expect(
      await rig.awaitReply(
        rig.handlers().locate?.({requestId: 'r1', organisation: 'org-a'}),
      ),
    ).toMatchObject({state: 'running', dispatchId: 'r1.0'});
  });

  test('continues when the entry reconnects after a silent channel', async () => {
    // Nothing arrives on the channel and no error is raised. The side closes
    // the silent channel, and the run continues.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 400});
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_000);
    first.silence();
    await rig.clock.runFor(5_000);
    expect(first.isClosed()).toBe(true);
    const second = rig.attach('r1.0', first.chunks().length, 'entry-1');
    await rig.clock.runFor(20_000);
    expectComplete([first, second], 400);
  });
});

describe('an engine stream', () => {
  test('that breaks is resumed from the next token', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(700);
    rig.engine.cut();
    await rig.clock.runFor(400);
    rig.engine.cut();
    await rig.clock.runFor(10_000);
    expectComplete([channel], 100);
    expect(rig.starts('r1.0')).toBe(1);
  });

  test('that goes silent is resumed on a new connection', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 300});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(700);
    rig.engine.silenceOpen();
    await rig.clock.runFor(15_000);
    expectComplete([channel], 300);
  });

  test('with duplicates and a gap yields each token once and in order', async () => {
    // A faulty connection repeats each event and skips one. Without checks the
    // answer would be wrong although its digest matches.
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
    expectComplete([channel], 20);
    const broken = rig.eventsOf(SIDE_EVENTS.streamBroken);
    expect(broken.map(line => line.fields.nextToken)).toEqual([9]);
  });

  test('without any event is resumed although its client raises no error', async () => {
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
    expectComplete([channel], 20);
  });

  test('of a crashed engine fails as having run after a limited number of resumes', async () => {
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

describe('a run whose engine refuses the connection', () => {
  test('fails at once as not run, so that another engine may serve it', async () => {
    // The engine crashes between the accepted offer and the go. No byte was
    // sent, so the entry may offer the non-repeatable request elsewhere.
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
  test('with duplicated and reordered frames arrives as it was sent', async () => {
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
    expectComplete([channel], 20);
  });

  test('with a missing frame fails as not run and never starts later', async () => {
    // If the run started before its prompt was complete, the side could not
    // report that it did not run.
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

  test('whose channel closes before the prompt is complete fails as not run', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.go('r1.0');
    channel.send({kind: 'prompt', seq: 0, data: Buffer.from('a')});
    channel.close();
    await rig.clock.runFor(100);
    expect(await rig.stateOf('r1.0')).toBe('failed');
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'never-started'});
    const reattached = rig.attach('r1.0', 0, 'entry-1');
    await rig.clock.runFor(100);
    expect(reattached.last('failed')).toMatchObject({ran: 'no'});
  });
});
