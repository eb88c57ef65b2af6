/** Another entry's word in place of own calls to the store. */
import {describe, expect, test} from 'vitest';
import {
  maxPeerEvidenceAgeMs,
  createPeerConfirmation,
} from '../../src/direct/peer_confirmation.js';
import {createPeerQueries} from '../../src/direct/peer_queries.js';
import type {AskDatagram} from '../../src/direct/datagrams.js';
import type {PeerAnswer, StoreKnowledge} from '../../src/direct/types.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {IGNORED_CALLBACKS} from '../support/peer_confirmation.js';

/** As with a bound of five seconds. */
const READY_MS = 3_000;
const SAME = {era: 1, configVersion: 3, replicasDigest: 'a'};

function coverOf(
  clock: VirtualClock,
  answer: () => StoreKnowledge | undefined,
) {
  const confirmed: number[] = [];
  const seen: string[] = [];
  const cover = createPeerConfirmation({
    clock,
    maxAgeMs: maxPeerEvidenceAgeMs(READY_MS),
    queryPeer: () => {
      const askedAt = clock.now();
      const knowledge = answer();
      const told: PeerAnswer | undefined = knowledge && {
        ...knowledge,
        askedAt,
        node: 'entry-0',
        ip: '127.0.0.1',
        port: 1,
      };
      return Promise.resolve(told);
    },
    ownKnowledge: () => SAME,
    onConfirmed: asOf => confirmed.push(asOf),
    onDifferentConfig: () => seen.push('config'),
    onSameConfig: () => undefined,
    onDifferentReplicas: () => seen.push('replicas'),
    onNewerEra: () => seen.push('newer era'),
    onUnconfirmed: () => seen.push('uncovered'),
    onChange: is => seen.push(is ? 'began' : 'ended'),
  });
  return {cover, confirmed, seen};
}

describe('the word of another entry', () => {
  test('counts from its question, less the age of its evidence', async () => {
    const clock = createVirtualClock();
    const word = coverOf(clock, () => ({...SAME, evidenceAgeMs: 300}));
    await clock.runFor(500);
    expect(word.confirmed).toEqual([clock.now() - 300]);
    expect(word.cover.isActive()).toBe(true);
    expect(word.seen).toEqual(['began']);
  });

  // Entry and store are cut apart, and the other entry has not heard of the
  // store for long or ever: a key may have been taken away meanwhile.
  test('is none without evidence', async () => {
    const clock = createVirtualClock();
    const word = coverOf(clock, () => ({...SAME, evidenceAgeMs: undefined}));
    await clock.runFor(500);
    expect(word.confirmed).toEqual([]);
    expect(word.cover.isActive()).toBe(false);
  });

  // Too old to lean on, but as true as ever: where the own calls fail, keys
  // count on it until it is over the bound.
  test('counts at any age, but covers only while it is young', async () => {
    const clock = createVirtualClock();
    const word = coverOf(clock, () => ({...SAME, evidenceAgeMs: 2_001}));
    await clock.runFor(500);
    expect(word.confirmed).toEqual([clock.now() - 2_001]);
    expect(word.cover.isActive()).toBe(false);
  });

  // With a bound of 2.5 s an entry is unready from 1.5 s on. A word that is a
  // second old would be older than that before the next one comes.
  test('counts only if it keeps the entry ready until the next one', () => {
    expect(maxPeerEvidenceAgeMs(READY_MS)).toBe(2_000);
    expect(maxPeerEvidenceAgeMs(1_500)).toBe(800);
  });

  // A key was taken away in version 4. The other entry knows, this one does
  // not: the other's fresh evidence says nothing of the keys of version 3.
  test('is none for another configuration, which is read instead', async () => {
    const clock = createVirtualClock();
    const other = {...SAME, configVersion: 4, evidenceAgeMs: 0};
    const word = coverOf(clock, () => other);
    await clock.runFor(500);
    expect(word.confirmed).toEqual([]);
    expect(word.seen).toEqual(['config', 'uncovered']);
  });

  // The other entry's evidence is over what covers, as with a short bound on
  // keys, and yet its version is the newer one.
  test('tells of a newer configuration however old it is', async () => {
    const clock = createVirtualClock();
    const old = {...SAME, evidenceAgeMs: 2_500};
    const newer = coverOf(clock, () => ({...old, configVersion: 4}));
    const older = coverOf(clock, () => ({...old, configVersion: 2}));
    await clock.runFor(500);
    expect(newer.seen).toContain('config');
    expect(older.seen).not.toContain('config');
  });

  test('has replicas read anew when they differ twice', async () => {
    const clock = createVirtualClock();
    const other = {...SAME, replicasDigest: 'b', evidenceAgeMs: 0};
    const word = coverOf(clock, () => other);
    await clock.runFor(500);
    expect(word.seen).toEqual(['began']);
    await clock.runFor(500);
    expect(word.seen).toEqual(['began', 'replicas']);
  });

  test('ends soon after the other fell silent', async () => {
    const clock = createVirtualClock();
    let isThere = true;
    const word = coverOf(clock, () =>
      isThere ? {...SAME, evidenceAgeMs: 0} : undefined,
    );
    await clock.runFor(500);
    isThere = false;
    await clock.runFor(1_000);
    expect(word.seen).toEqual(['began']);
    await clock.runFor(500);
    expect(word.cover.isActive()).toBe(false);
    expect(word.seen).toEqual(['began', 'ended', 'uncovered']);
  });

  // Two entries that are both cut off from the store ask each other. Each
  // answer is older than the one it rests on: no key lives on between them.
  test('grows old between two entries that lean on each other', async () => {
    const clock = createVirtualClock();
    const confirmedAt = [clock.now(), clock.now()];
    const leanOn = (own: number, other: number) =>
      createPeerConfirmation({
        clock,
        maxAgeMs: maxPeerEvidenceAgeMs(READY_MS),
        queryPeer: () => {
          const askedAt = clock.now();
          const evidenceAgeMs = askedAt - confirmedAt[other];
          return Promise.resolve({
            ...SAME,
            askedAt,
            evidenceAgeMs,
            node: 'the other',
            ip: '127.0.0.1',
            port: 1,
          });
        },
        ownKnowledge: () => SAME,
        ...IGNORED_CALLBACKS,
        onConfirmed: sentAt => {
          confirmedAt[own] = Math.max(confirmedAt[own], sentAt);
        },
      });
    const covers = [leanOn(0, 1), leanOn(1, 0)];
    await clock.runFor(5_000);
    expect(confirmedAt).toEqual([0, 0]);
    expect(covers.map(cover => cover.isActive())).toEqual([false, false]);
  });
});

describe('a word that is wanted at once', () => {
  // A request waits for its key to be confirmed. The next turn is up to half a
  // second away, which is longer than a request waits.
  test('is asked for before its turn', async () => {
    const clock = createVirtualClock();
    const word = coverOf(clock, () => ({...SAME, evidenceAgeMs: 0}));
    word.cover.queryNow();
    await clock.settle();
    expect(word.confirmed).toEqual([0]);
  });

  // A question is under way when a doubt about the clocks arises; its answer
  // will be void. The wanted one is asked after it.
  test('is asked for after the question that is under way', async () => {
    const clock = createVirtualClock();
    let asked = 0;
    const cover = createPeerConfirmation({
      clock,
      maxAgeMs: maxPeerEvidenceAgeMs(READY_MS),
      queryPeer: () => {
        asked += 1;
        return new Promise(resolve => {
          clock.after(100, () => resolve(undefined));
        });
      },
      ownKnowledge: () => SAME,
      ...IGNORED_CALLBACKS,
    });
    await clock.runFor(500);
    cover.queryNow();
    expect(asked).toBe(1);
    await clock.runFor(100);
    expect(asked).toBe(2);
    await clock.runFor(100);
    expect(asked).toBe(2);
  });
});

describe('a question to another entry', () => {
  const entry = (node: string) => ({
    node,
    incarnation: 'i',
    ip: '127.0.0.1',
    port: 1,
  });

  // The first entry stands still. Its silence costs one question, and the next
  // goes to another entry.
  test('that is not answered goes to the next entry afterwards', async () => {
    const clock = createVirtualClock();
    const sent: Array<{datagram: AskDatagram; to: string}> = [];
    const answers: Array<PeerAnswer | undefined> = [];
    const questions = createPeerQueries({
      clock,
      self: entry('c'),
      candidates: () => [entry('a'), entry('b')],
      send: (datagram, to) => sent.push({datagram, to: to.node}),
    });
    questions.query(false, answer => answers.push(answer));
    await clock.runFor(400);
    expect(answers).toEqual([undefined]);
    questions.query(false, answer => answers.push(answer));
    expect(sent.map(({to}) => to)).toEqual(['a', 'b']);
    const knowledge = {...SAME, evidenceAgeMs: 5};
    const {question} = sent[1].datagram;
    questions.handleAnswer({kind: 'answer', question, knowledge});
    questions.handleAnswer({kind: 'answer', question, knowledge});
    const from = {node: 'b', ip: '127.0.0.1', port: 1};
    expect(answers).toEqual([undefined, {...knowledge, askedAt: 400, ...from}]);
  });
});
