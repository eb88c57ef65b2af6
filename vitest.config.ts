import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    // Tests that start processes wait on ports; the rest is virtual time.
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 6,
    // Its ES modules import a directory, which Node refuses and Vite resolves.
    server: {deps: {inline: ['clipanion']}},
  },
});
