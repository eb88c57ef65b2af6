/** The command line: help, exit codes, and output that scripts parse. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {afterEach, describe, expect, test} from 'vitest';
import {COMMANDS, createTool} from '../src/cli/tool.js';
import type {ConfigPatch} from '../src/types/services.js';
import {runToolWith} from './support/run_tool.js';

type Answer = (
  patch: ConfigPatch,
  res: ServerResponse,
  req: IncomingMessage,
) => void;

const PATCH_FILE = 'test/support/patch.jsonc';
const APPLY = ['config', 'apply', '--base', '41', '--operator', 'ana'];

let server: Server | undefined;

/** Starts an operators' API that answers each patch with the next function. */
async function serve(...answers: readonly Answer[]) {
  const left = [...answers];
  server = createServer((req, res) => {
    void json(req).then(body => left.shift()?.(body as ConfigPatch, res, req));
  });
  await new Promise<void>(done => server?.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  return {ONYXLOFT_URL: `http://127.0.0.1:${port}`, ONYXLOFT_TOKEN: 'token'};
}

const answerWith =
  (status: number, body: unknown): Answer =>
  (_, res) =>
    res.writeHead(status).end(JSON.stringify(body));

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

describe('command line', () => {
  test('help lists each command with its options and examples', async () => {
    const tool = createTool();
    const details = COMMANDS.map(command =>
      tool.usage(command, {detailed: true}),
    );
    const text = [tool.usage(), ...details].join('\n----\n\n');
    await expect(text).toMatchFileSnapshot('golden/cli_help.txt');
  });

  test.each([
    [['no-such-command']],
    [['config', 'apply', PATCH_FILE]],
    [['config', 'show', 'newest', '--url', 'http://127.0.0.1:1']],
    [['status']],
    [['settings', 'check', 'no-such-file.jsonc']],
  ])('wrong usage exits with code 2: %j', async args => {
    expect((await runToolWith(args)).code).toBe(2);
  });
});

describe('drain', () => {
  test('an error about a wrong URL names NODE-URL instead of --url', async () => {
    const run = await runToolWith(['drain', 'side-1:7200', '--token', 't']);
    expect(run.code).toBe(2);
    expect(run.stderr).toContain('give NODE-URL, an http(s) URL');
  });
});

describe('config apply', () => {
  test('sends the patch without its comments and prints the number', async () => {
    let sent: ConfigPatch | undefined;
    let token: string | undefined;
    const env = await serve((patch, res, req) => {
      sent = patch;
      token = req.headers.authorization;
      const changedPaths = ['/policy/maxOffers'];
      const body = {number: 42, changedPaths, dryRun: false};
      res.end(JSON.stringify(body));
    });
    const run = await runToolWith([...APPLY, PATCH_FILE, '--json'], env);
    expect(run).toMatchObject({code: 0, stderr: ''});
    expect(JSON.parse(run.stdout)).toMatchObject({number: 42});
    expect(token).toBe('Bearer token');
    expect(sent).toMatchObject({
      base: 41,
      form: 'json-patch',
      dryRun: false,
      operator: 'ana',
      patch: '[{"op":"replace","path":"/policy/maxOffers","value":2}]',
    });
  });

  test('a conflict is printed with both numbers and exits with code 1', async () => {
    const error = {code: 'conflict', step: 'config', message: 'not the head'};
    const env = await serve(answerWith(409, {error, head: 43}));
    const run = await runToolWith([...APPLY, PATCH_FILE], env);
    expect(run.code).toBe(1);
    expect(run.stderr).toContain('based on 41, the head is 43');
  });

  test('faults of the declarations are printed with their mends', async () => {
    const error = {code: 'invalid-config', step: 'config', message: 'wrong'};
    const path = '/policy/maxOffers';
    const faults = [{path, message: 'is under 1', mend: 'write 1 or more'}];
    const env = await serve(answerWith(422, {error, head: 41, faults}));
    const run = await runToolWith([...APPLY, PATCH_FILE], env);
    expect(run.code).toBe(1);
    expect(run.stderr).toContain(
      '/policy/maxOffers: is under 1; write 1 or more',
    );
  });

  // The connection breaks after the entry applied the patch. A repeat with a
  // new id would be applied as a second patch.
  test('a patch whose response was lost is repeated with the same id', async () => {
    const ids: string[] = [];
    const accepted = {number: 42, changedPaths: [], dryRun: false};
    const env = await serve(
      (patch, res) => {
        ids.push(patch.patchId);
        res.destroy();
      },
      (patch, res) => {
        ids.push(patch.patchId);
        res.end(JSON.stringify(accepted));
      },
    );
    const run = await runToolWith([...APPLY, PATCH_FILE], env);
    expect(run.code).toBe(0);
    expect(ids).toHaveLength(2);
    expect(ids[0]).toBe(ids[1]);
  });
});
