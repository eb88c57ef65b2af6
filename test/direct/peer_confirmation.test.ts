/** Confirmation by a peer in place of own calls to the store. */
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

/**
 * Readiness limit in milliseconds for a limit of five seconds on removed keys.
 */
const READY_MS = 3_000;
const SAME = {era: 1, configVersion: 3, replicasDigest: 'a'};

function createFixture(
  clock: VirtualClock,
  answer: () => StoreKnowledge | undefined,
) {
  const confirmed: number[] = [];
  const seen: string[] = [];
  const confirmation = createPeerConfirmation({
    clock,
    maxAgeMs: maxPeerEvidenceAgeMs(READY_MS),
    queryPeer: () => {
      const askedAt = clock.now();
      const knowledge = answer();
      const peerAnswer: PeerAnswer | undefined = knowledge && {
        ...knowledge,
        askedAt,
        node: 'entry-0',
        ip: '127.0.0.1',
        port: 1,
      };
      return Promise.resolve(peerAnswer);
    },
    ownKnowledge: () => ({...SAME, evacuationsDigest: 'e'}),
    onDifferentEvacuations: () => seen.push('evacuations'),
    onConfirmed: asOf => confirmed.push(asOf),
    onDifferentConfig: () => seen.push('config'),
    onSameConfig: () => undefined,
    onDifferentReplicas: () => seen.push('replicas'),
    onNewerEra: () => seen.push('newer era'),
    onUnconfirmed: () => seen.push('uncovered'),
    onChange: isActive => seen.push(isActive ? 'began' : 'ended'),
  });
  return {confirmation, confirmed, seen};
}

describe('entries that confirm each other', () => {
  // Guards against two entries that each give up their own calls for the
  // other's word, while a newer version reaches neither.
  test('do not both rely on the other', async () => {
    const clock = createVirtualClock();
    const names = ['entry-0', 'entry-1'];
    /** The last call to the store that was answered was sent by entry-0. */
    const evidence = names.map(() => ({asOf: 0, source: 'entry-0'}));
    const confirmations = names.map((self, at) => {
      const other = 1 - at;
      return createPeerConfirmation({
        ...IGNORED_CALLBACKS,
        clock,
        maxAgeMs: maxPeerEvidenceAgeMs(READY_MS),
        mayRelyOn: entry => entry < self,
        queryPeer: () =>
          Promise.resolve({
            ...SAME,
            evidenceAgeMs: clock.now() - evidence[other].asOf,
            evidenceSource: evidence[other].source,
            askedAt: clock.now(),
            node: names[other],
            ip: '127.0.0.1',
            port: 1,
          }),
        ownKnowledge: () => SAME,
        onConfirmed: (asOf, _askedAt, {source}) => {
          if (asOf > evidence[at].asOf) evidence[at] = {asOf, source};
        },
      });
    });
    await clock.runFor(1_000);
    expect(confirmations.map(it => it.isActive())).toEqual([false, true]);
  });

  test('rely on no call of a later entry that an earlier one tells of', async () => {
    const clock = createVirtualClock();
    const knowledge = {...SAME, evidenceAgeMs: 100, evidenceSource: 'entry-2'};
    const confirmation = createPeerConfirmation({
      ...IGNORED_CALLBACKS,
      clock,
      maxAgeMs: maxPeerEvidenceAgeMs(READY_MS),
      mayRelyOn: entry => entry < 'entry-1',
      queryPeer: () =>
        Promise.resolve({
          ...knowledge,
          askedAt: clock.now(),
          node: 'entry-0',
          ip: '127.0.0.1',
          port: 1,
        }),
      ownKnowledge: () => SAME,
    });
    await clock.runFor(1_000);
    expect(confirmation.isActive()).toBe(false);
  });
});

describe('confirmation by another entry', () => {
  test('counts from the time of the query minus the age of the evidence', async () => {
    const clock = createVirtualClock();
    const fixture = createFixture(clock, () => ({...SAME, evidenceAgeMs: 300}));
    await clock.runFor(500);
    expect(fixture.confirmed).toEqual([clock.now() - 300]);
    expect(fixture.confirmation.isActive()).toBe(true);
    expect(fixture.seen).toEqual(['began']);
  });

  // If the peer has had no news of the store either, a key may have been
  // removed meanwhile.
  test('is not given without evidence', async () => {
    const clock = createVirtualClock();
    const fixture = createFixture(clock, () => ({
      ...SAME,
      evidenceAgeMs: undefined,
    }));
    await clock.runFor(500);
    expect(fixture.confirmed).toEqual([]);
    expect(fixture.confirmation.isActive()).toBe(false);
  });

  // Old evidence does not replace own calls, but it is still exact. Where own
  // calls fail, keys are accepted on it up to the limit.
  test('counts at any age, but replaces own calls only while it is recent', async () => {
    const clock = createVirtualClock();
    const fixture = createFixture(clock, () => ({
      ...SAME,
      evidenceAgeMs: 2_001,
    }));
    await clock.runFor(500);
    expect(fixture.confirmed).toEqual([clock.now() - 2_001]);
    expect(fixture.confirmation.isActive()).toBe(false);
  });

  // With a limit of 2.5 s an entry is unready from 1.5 s on. Evidence that is a
  // second old would be older than that before the next answer.
  test('replaces own calls only if the entry stays ready until the next answer', () => {
    expect(maxPeerEvidenceAgeMs(READY_MS)).toBe(2_000);
    expect(maxPeerEvidenceAgeMs(1_500)).toBe(800);
  });

  // A key was removed in version 4. The peer's fresh evidence says nothing
  // about the keys of version 3.
  test('is not given for a different configuration, which is read instead', async () => {
    const clock = createVirtualClock();
    const other = {...SAME, configVersion: 4, evidenceAgeMs: 0};
    const fixture = createFixture(clock, () => other);
    await clock.runFor(500);
    expect(fixture.confirmed).toEqual([]);
    expect(fixture.seen).toEqual(['config', 'uncovered']);
  });

  // With a short limit on removed keys, evidence may be too old to replace own
  // calls although the version is newer.
  test('reports a newer configuration at any age', async () => {
    const clock = createVirtualClock();
    const old = {...SAME, evidenceAgeMs: 2_500};
    const newer = createFixture(clock, () => ({...old, configVersion: 4}));
    const older = createFixture(clock, () => ({...old, configVersion: 2}));
    await clock.runFor(500);
    expect(newer.seen).toContain('config');
    expect(older.seen).not.toContain('config');
  });

  test('causes a read of the replicas when they differ twice', async () => {
    const clock = createVirtualClock();
    const other = {...SAME, replicasDigest: 'b', evidenceAgeMs: 0};
    const fixture = createFixture(clock, () => other);
    await clock.runFor(500);
    expect(fixture.seen).toEqual(['began']);
    await clock.runFor(500);
    expect(fixture.seen).toEqual(['began', 'replicas']);
  });

  // Guards against long watches of evacuations on the word of a peer that knows
  // others, does not follow them, or has not reached the store for long.
  test.each([
    ['equal ones', {evacuationsDigest: 'e'}, true, false],
    ['others', {evacuationsDigest: 'f'}, false, true],
    ['none, as an entry of an earlier version', {}, false, false],
    [
      'equal ones on old evidence',
      {evacuationsDigest: 'e', evidenceAgeMs: 2_500},
      false,
      false,
    ],
    [
      'equal ones of an older era',
      {evacuationsDigest: 'e', era: 0},
      false,
      false,
    ],
    [
      'equal ones with another configuration',
      {evacuationsDigest: 'e', configVersion: 2},
      true,
      false,
    ],
    [
      'others without any evidence',
      {evacuationsDigest: 'f', evidenceAgeMs: undefined},
      false,
      true,
    ],
  ])(
    'counts for evacuations if the peer reports %s',
    async (_what, part, isActive, isDifferent) => {
      const clock = createVirtualClock();
      const fixture = createFixture(clock, () => ({
        ...SAME,
        evidenceAgeMs: 0,
        ...part,
      }));
      await clock.runFor(500);
      const {confirmation, seen} = fixture;
      expect(confirmation.isActiveForEvacuations()).toBe(isActive);
      expect(seen.includes('evacuations')).toBe(isDifferent);
    },
  );

  test('ends soon after the other entry became silent', async () => {
    const clock = createVirtualClock();
    let isPeerAlive = true;
    const fixture = createFixture(clock, () =>
      isPeerAlive ? {...SAME, evidenceAgeMs: 0} : undefined,
    );
    await clock.runFor(500);
    isPeerAlive = false;
    await clock.runFor(1_000);
    expect(fixture.seen).toEqual(['began']);
    await clock.runFor(500);
    expect(fixture.confirmation.isActive()).toBe(false);
    expect(fixture.seen).toEqual(['began', 'ended', 'uncovered']);
  });

  // Two entries that cannot reach the store query each other. The age grows
  // with each answer, so no key stays accepted.
  test('expires between two entries that rely on each other', async () => {
    const clock = createVirtualClock();
    const confirmedAt = [clock.now(), clock.now()];
    const relyOn = (own: number, other: number) =>
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
    const confirmations = [relyOn(0, 1), relyOn(1, 0)];
    await clock.runFor(5_000);
    expect(confirmedAt).toEqual([0, 0]);
    expect(confirmations.map(confirmation => confirmation.isActive())).toEqual([
      false,
      false,
    ]);
  });
});

describe('a confirmation that is needed at once', () => {
  // The next regular query may be half a second away, which is longer than a
  // request waits for its key.
  test('is requested before the next interval', async () => {
    const clock = createVirtualClock();
    const fixture = createFixture(clock, () => ({...SAME, evidenceAgeMs: 0}));
    fixture.confirmation.queryNow();
    await clock.settle();
    expect(fixture.confirmed).toEqual([0]);
  });

  // The running query was sent before a suspension was detected, so its answer
  // will not count.
  test('is requested again after the running query', async () => {
    const clock = createVirtualClock();
    let asked = 0;
    const confirmation = createPeerConfirmation({
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
    confirmation.queryNow();
    expect(asked).toBe(1);
    await clock.runFor(100);
    expect(asked).toBe(2);
    await clock.runFor(100);
    expect(asked).toBe(2);
  });
});

describe('a query to another entry', () => {
  const entry = (node: string) => ({
    node,
    incarnation: 'i',
    ip: '127.0.0.1',
    port: 1,
  });

  // The first peer is frozen. Its silence costs one query only.
  test('goes to the next entry after one that was not answered', async () => {
    const clock = createVirtualClock();
    const sent: Array<{datagram: AskDatagram; to: string}> = [];
    const answers: Array<PeerAnswer | undefined> = [];
    const queries = createPeerQueries({
      clock,
      self: entry('c'),
      candidates: () => [entry('a'), entry('b')],
      send: (datagram, to) => sent.push({datagram, to: to.node}),
    });
    queries.query(false, answer => answers.push(answer));
    await clock.runFor(400);
    expect(answers).toEqual([undefined]);
    queries.query(false, answer => answers.push(answer));
    expect(sent.map(({to}) => to)).toEqual(['a', 'b']);
    const knowledge = {...SAME, evidenceAgeMs: 5};
    const {question} = sent[1].datagram;
    queries.handleAnswer({kind: 'answer', question, knowledge});
    queries.handleAnswer({kind: 'answer', question, knowledge});
    const from = {node: 'b', ip: '127.0.0.1', port: 1};
    expect(answers).toEqual([undefined, {...knowledge, askedAt: 400, ...from}]);
  });
});
