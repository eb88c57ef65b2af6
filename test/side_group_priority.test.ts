/** Priority of a group's lead over short prompts on the same engine. */
import {describe, expect, test} from 'vitest';
import type {LengthClass} from '../src/types/config.js';
import {createSideRig} from './support/side_rig.js';

const CLASS = {memoryFloor: 0, maxRunning: 0, defaultTimeLimitMs: 600_000};
const LENGTH_CLASSES: readonly LengthClass[] = [
  {...CLASS, name: 'short', maxTokens: 8_000},
  {...CLASS, name: 'archive', maxTokens: 1_000_000},
];

describe('the lead of a group', () => {
  // Both runs have the same declared priority, and the group came first. With
  // that priority alone, its prefill would block the engine for half a minute.
  test('lets short prompts run between its prefill steps', async () => {
    const rig = await createSideRig({lengthClasses: LENGTH_CLASSES});
    const group = {lead: true, size: 2, holdTokens: 300_000};
    await rig.offer('g.1', {promptTokens: 600_000, group});
    const lead = rig.goWithPrompt('g.1');
    await rig.clock.runFor(500);
    await rig.offer('s.1', {promptTokens: 1_000});
    const short = rig.goWithPrompt('s.1');
    await rig.clock.runFor(1_000);
    expect(short.chunks().length).toBeGreaterThan(0);
    expect(lead.chunks()).toEqual([]);
  });
});
