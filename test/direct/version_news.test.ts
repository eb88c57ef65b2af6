/** What logs tell of how a version of the configuration reached an entry. */
import {describe, expect, test} from 'vitest';
import {createHeardVersion} from '../../src/direct/freshness/heard_version.js';
import {createVersionNews} from '../../src/direct/freshness/version_news.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

describe('news of versions', () => {
  test('log once that a peer named a version, and how long its read took', async () => {
    const clock = createVirtualClock();
    const lines: unknown[] = [];
    const heard: unknown[] = [];
    const news = createVersionNews({
      clock,
      log: ({name}, fields) => lines.push([name, fields]),
      onHeard: (version, from) => heard.push([version, from]),
    });
    const named = {configVersion: 7, evidenceAgeMs: 120.4, node: 'entry-1'};
    news.heard(named);
    await clock.runFor(500);
    news.heard(named);
    const sentAt = clock.now();
    await clock.runFor(20);
    news.fetched(7, 'store', sentAt);
    news.heard(named);
    expect(heard).toEqual([[7, 'entry-1']]);
    expect(lines).toEqual([
      [
        'direct-config-heard',
        {version: 7, entry: 'entry-1', evidenceAgeMs: 120},
      ],
      [
        'direct-config-fetched',
        {version: 7, from: 'store', tookMs: 20, sinceHeardMs: 520},
      ],
    ]);
  });

  test('show in a refusal only a version newer than the applied one', async () => {
    const clock = createVirtualClock();
    const heardVersion = createHeardVersion(clock);
    expect(heardVersion.fields(undefined)).toEqual({});
    heardVersion.heard(7, 'entry-1');
    await clock.runFor(300);
    heardVersion.heard(7, 'entry-2');
    const fields = {heardVersion: 7, heardFrom: 'entry-1', heardAgoMs: 300};
    expect(heardVersion.fields(5)).toEqual(fields);
    expect(heardVersion.fields(7)).toEqual({});
  });
});
