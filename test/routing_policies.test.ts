/** The order of candidates under each routing policy. */
import {describe, expect, it} from 'vitest';
import {createAssignments} from '../src/entry/routing/assignments.js';
import {predictedFirstToken} from '../src/policy/predicted_first_token.js';
import type {RoutingInput, RoutingTarget} from '../src/policy/routing.js';
import {createRoutingPolicies} from '../src/policy/routing_policies.js';
import type {SideLoad} from '../src/types/peer_messages.js';
import type {Replica} from '../src/types/services.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import {specOf} from './support/entry_fixture.js';
import {IDLE_LOAD} from './support/scripted_side.js';

function targetOf(
  address: string,
  load: Partial<SideLoad> = {},
  changes: Partial<Replica> = {},
): RoutingTarget {
  return {
    unreportedRequests: 0,
    unreportedTokens: 0,
    replica: {
      host: address,
      node: address,
      address,
      pool: 'onyx-pool',
      failureDomain: 'kg-a',
      incarnation: address,
      state: 'live',
      load: {...IDLE_LOAD, ...load},
      loadAt: 0,
      models: [],
      configNumber: 1,
      fence: 0,
      rttMs: 1,
      ...changes,
    },
  };
}

function inputOf(
  targets: readonly RoutingTarget[],
  changes: Partial<RoutingInput> = {},
): RoutingInput {
  return {
    request: {
      kind: 'completion',
      promptTokens: 4_000,
      maxTokens: 100,
      prefixHashes: [],
      short: true,
    },
    targets,
    ownFailureDomain: 'kg-a',
    now: 0,
    random: createSeededRandom(7),
    weights: specOf(0).config.declarations.policy,
    prefixHitRatio: 1,
    knownPrefixTokens: 0,
    ...changes,
  };
}

function firstOf(input: RoutingInput): string {
  return predictedFirstToken(input)[0].target.replica.address;
}

describe('predicted first token', () => {
  it('prefers the shorter backlog at the learned rate', () => {
    const slow = targetOf('a', {prefillTokensPerSec: 2_000});
    const busy = targetOf('b', {
      prefillBacklogTokens: 50_000,
      shortBacklogTokens: 50_000,
    });
    expect(firstOf(inputOf([slow, busy, targetOf('c')]))).toBe('c');
  });

  it('keeps a short prompt from engines with a backlog of short prompts', () => {
    const longBacklog = targetOf('a', {prefillBacklogTokens: 40_000});
    const shortBacklog = targetOf('b', {
      prefillBacklogTokens: 20_000,
      shortBacklogTokens: 20_000,
    });
    const short = inputOf([longBacklog, shortBacklog]);
    expect(firstOf(short)).toBe('a');
    expect(firstOf({...short, request: {...short.request, short: false}})).toBe(
      'b',
    );
  });

  it('prefers the own failure domain between equal targets', () => {
    const far = targetOf('a', {}, {failureDomain: 'kg-b', rttMs: 2});
    expect(firstOf(inputOf([far, targetOf('b')]))).toBe('b');
  });

  it('routes a known prefix to one home until that is overloaded', () => {
    const addresses = ['a', 'b', 'c', 'd'];
    const prefix = {
      request: {
        ...inputOf([]).request,
        prefixHashes: ['manual-7'],
      },
      knownPrefixTokens: 3_000,
    };
    const homeFor = (load: (address: string) => Partial<SideLoad>) =>
      firstOf(
        inputOf(
          addresses.map(address => targetOf(address, load(address))),
          prefix,
        ),
      );
    const home = homeFor(() => ({}));
    const busyOthers = homeFor(() => ({prefillBacklogTokens: 1_000}));
    expect(busyOthers).toBe(home);
    const overloadedHome = homeFor(address =>
      address === home
        ? {prefillBacklogTokens: 2_500, shortBacklogTokens: 2_500}
        : {},
    );
    expect(overloadedHome).not.toBe(home);
  });

  // Between two heartbeats the load reports do not change. Without the entry's
  // own assignments, all requests would go to the side with the best report.
  it('spreads the requests between two load reports', () => {
    const replicas = ['a', 'b', 'c', 'd'].map(name => targetOf(name).replica);
    const assignments = createAssignments();
    const counts = new Map<string, number>();
    for (let count = 0; count < 100; count++) {
      const targets = replicas.map(replica => {
        const {requests, tokens} = assignments.since(replica);
        return {
          replica,
          unreportedRequests: requests,
          unreportedTokens: tokens,
        };
      });
      const address = firstOf(inputOf(targets));
      assignments.add(address, `r${count}.1`, 4_000, 1);
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(30);
  });

  // Many entries have the same report, five seconds old, and none knows the
  // others' requests. If they trusted it, all would choose the same side.
  it('spreads the requests of many entries when reports are old', () => {
    const random = createSeededRandom(11);
    const targets = ['a', 'b', 'c', 'd'].map((name, at) =>
      targetOf(name, {shortBacklogTokens: at * 200, reportAgeMs: 5_000}),
    );
    const counts = new Map<string, number>();
    for (let entry = 0; entry < 200; entry++) {
      const address = firstOf(inputOf(targets, {random}));
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThan(120);
  });

  // Reports stopped 30 s ago, so the same side still looks best to every entry.
  // No entry knows what the others have sent since.
  it('spreads the requests of many entries when reports have stopped', () => {
    const random = createSeededRandom(13);
    const targets = ['a', 'b', 'c', 'd'].map((name, at) =>
      targetOf(name, {shortBacklogTokens: at * 20_000}),
    );
    const counts = new Map<string, number>();
    for (let entry = 0; entry < 200; entry++) {
      const address = firstOf(inputOf(targets, {random, now: 30_000}));
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(counts.size).toBe(4);
    expect(Math.max(...counts.values())).toBeLessThan(70);
  });
});

describe('the policies without a prediction', () => {
  const policies = createRoutingPolicies();
  const busy = targetOf('a', {running: 5});
  const idle = targetOf('b', {running: 1});

  it('round robin chooses each target in turn', () => {
    const policy = policies('round-robin');
    const first = () => policy(inputOf([busy, idle]))[0].target.replica.address;
    expect([first(), first(), first()]).toEqual(['a', 'b', 'a']);
  });

  it('least requests and random pairs choose the target with fewer', () => {
    for (const name of ['least-requests', 'random-pairs']) {
      const ranked = policies(name)(inputOf([busy, idle]));
      expect(ranked.map(({target}) => target)).toEqual([idle, busy]);
    }
  });
});
