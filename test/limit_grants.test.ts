import {describe, expect, it} from 'vitest';
import {createHomeLedger} from '../src/limits/home_ledger.js';
import type {HomeLimits} from '../src/limits/home_ledger.js';
import {allowanceOf, createEntryShare} from '../src/limits/entry_share.js';
import {createTestRuntime} from './support/test_runtime.js';

const TTL_MS = 2_000;
const LIMITS: HomeLimits = {
  maxRunning: 10,
  tokensPerSec: 1_000,
  reachableShare: 1,
  isPresent: () => true,
};

function createLedger() {
  const {runtime} = createTestRuntime();
  const {invariant} = runtime;
  const ledger = createHomeLedger({invariant, now: 0, initialSec: 1});
  const ask = (
    entry: string,
    wantPlaces: number,
    usedPlaces: number,
    now: number,
    limits = LIMITS,
  ): number => {
    const organisation = 'prairie';
    const wantTokens = 0;
    const req = {organisation, entry, wantPlaces, usedPlaces, wantTokens};
    return ledger.grant(req, limits, now).places;
  };
  return {ledger, ask};
}

describe('a home', () => {
  // An old ask may arrive late, or a new answer be lost; the entry then uses its
  // larger grant. If its slots were granted to another, both would use them.
  it('counts a larger grant until it expires, whatever is asked later', () => {
    const {ask} = createLedger();
    expect(ask('a', 8, 0, 0)).toBe(8);
    expect(ask('a', 1, 0, 1_000)).toBe(1);
    expect(ask('b', 9, 0, 1_001)).toBe(2);
    expect(ask('b', 9, 2, TTL_MS + 1)).toBe(9);
  });

  it('counts what a cut-off entry has in use until the entry is gone', () => {
    const {ask} = createLedger();
    expect(ask('a', 8, 8, 0)).toBe(8);
    const later = 10 * TTL_MS;
    expect(ask('b', 10, 0, later)).toBe(2);
    const gone = {...LIMITS, isPresent: (entry: string) => entry !== 'a'};
    expect(ask('b', 10, 2, later + 1, gone)).toBe(10);
  });

  // Two homes have granted more than the limit. If an entry were granted as many
  // slots as it uses, it would refill each, and the excess would never end.
  it('grants fewer slots than are in use when those exceed the limit', () => {
    const {ask} = createLedger();
    expect(ask('a', 9, 9, 0)).toBe(9);
    expect(ask('b', 9, 6, 0)).toBe(1);
    expect(ask('a', 9, 8, 1)).toBe(4);
  });

  it('grants a part of the limit while it does not reach all entries', () => {
    const {ask} = createLedger();
    expect(ask('a', 10, 0, 0, {...LIMITS, reachableShare: 0.5})).toBe(5);
  });

  it('gives grants a longer time to live when many entries ask', () => {
    const {ledger} = createLedger();
    const ttlOf = (entry: number): number =>
      ledger.grant(
        {
          organisation: 'prairie',
          entry: `entry-${entry}`,
          wantPlaces: 1,
          usedPlaces: 0,
          wantTokens: 0,
        },
        {...LIMITS, maxRunning: 1_000},
        0,
      ).ttlMs;
    const ttls = Array.from({length: 370}, (_, entry) => ttlOf(entry));
    expect(ttls[0]).toBe(2_000);
    expect(ttls[63]).toBe(8_000);
    expect(ttls[369]).toBe(16_000);
  });
});

describe('a share', () => {
  const grant = {places: 2, tokens: 100, ttlMs: TTL_MS, home: true};

  it('expires its time to live after it was asked for', () => {
    const share = createEntryShare(TTL_MS);
    share.addGrant(grant, 1_000);
    expect(share.tryTake(10, 2_999)).toBe('none');
    expect(share.tryTake(10, 3_000)).toBe('places');
    share.addGrant({...grant, tokens: 0}, 2_500);
    expect(share.tryTake(10, 3_000)).toBe('tokens');
  });

  it('uses a small allowance without the home', () => {
    expect(allowanceOf(64, 4_000, 4)).toEqual({slots: 4, tokensPerSec: 250});
    expect(allowanceOf(2, 4_000, 4).slots).toBe(1);
    const share = createEntryShare(TTL_MS);
    share.setAllowance({slots: 1, tokensPerSec: 250}, 0);
    expect(share.tryTake(1_000, 0)).toBe('none');
    expect(share.tryTake(1, 0)).toBe('places');
    share.release();
    // The balance is -750, and above 0 again after just over three seconds.
    expect(share.tryTake(1, 3_000)).toBe('tokens');
    expect(share.tryTake(1, 3_010)).toBe('none');
  });

  it('asks for what is waiting, a quarter more, and what two periods used', () => {
    const share = createEntryShare(TTL_MS);
    expect(share.demand(4, 400, 0)).toEqual({slots: 5, tokens: 400});
    share.addGrant({...grant, places: 9, tokens: 1_000}, 0);
    for (const now of [0, 1]) {
      share.tryTake(300, now);
      share.release();
      share.endRenewalPeriod(now);
    }
    expect(share.demand(0, 0, 2)).toEqual({slots: 2, tokens: 0});
    expect(share.demand(0, 0, TTL_MS)).toEqual({slots: 2, tokens: 300});
  });
});
