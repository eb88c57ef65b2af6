/** Commands that call a store which answers late. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {runToolWith} from './support/run_tool.js';

/** Later than entries wait, as when the machine is loaded. */
const LATE_MS = 1_000;

// Guards against commands that fail because the machine is loaded.
test('a command waits for a store that answers after a second', async () => {
  const server = createServer((_req, res) => {
    const text = '{"items":[],"hasMore":false,"currentRev":1}';
    setTimeout(() => res.end(text), LATE_MS);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const {code, stderr} = await runToolWith(['quarantine', 'list'], {
    ONYXLOFT_STORE: `127.0.0.1:${port}`,
  });
  server.closeAllConnections();
  server.close();
  expect(stderr).toBe('');
  expect(code).toBe(0);
});
