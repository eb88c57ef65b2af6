/** What it costs to read a page of the store's objects. */
import {expect, test, vi} from 'vitest';
import {decodePage} from '../../platform/stored_objects.js';

vi.mock('jsonc-parser', async importOriginal => ({
  ...(await importOriginal<typeof import('jsonc-parser')>()),
  parseTree: () => {
    throw new Error('the tolerant parser was used');
  },
}));

const page = JSON.stringify({
  items: [{metadata: {name: 'main', revision: 3}, spec: {}}],
  hasMore: false,
  currentRev: 3,
});

// Guards against an entry that stands still while it takes in a large
// configuration: the tolerant parser takes ten times as long.
test('a page that is valid JSON is not read by the tolerant parser', () => {
  expect(decodePage(page).isRight()).toBe(true);
});

test('a page that is not valid JSON is', () => {
  expect(() => decodePage(page.slice(0, -1))).toThrow('tolerant');
});
