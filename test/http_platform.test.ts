import {createServer as createHttpServer} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {createHttpHostList} from '../src/stores/http_host_list.js';
import {
  STORE_CALLS_METRIC,
  createHttpObjectStore,
} from '../src/stores/http_object_store.js';
import {createHttpWeightStore} from '../src/stores/http_weight_store.js';
import type {StoreError} from '../src/types/platform.js';
import {createProcessClock} from '../src/utils/clock.js';
import {createTestRuntime} from './support/test_runtime.js';
import {postJson, startProgram} from './support/programs.js';
import type {Program} from './support/programs.js';

const clock = createProcessClock();
const closers: Array<() => Promise<unknown>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

const openStore = (url: string, timeoutMs = 5_000) => {
  const {metrics} = createTestRuntime();
  const store = createHttpObjectStore(url, {
    runtime: {clock, metrics},
    timeoutMs,
  });
  closers.push(() => store.close());
  return {store, metrics};
};

const failure = ({kind, effect, version}: StoreError) =>
  `${kind} ${effect} ${version}`;

describe('object store over HTTP', () => {
  let api: Program;

  beforeAll(async () => {
    api = await startProgram('standins/object_api.ts');
  });
  afterEach(() => postJson(`${api.url}/faults`, {outage: false, loseEvery: 0}));
  afterAll(async () => {
    expect(await api.end()).toBe(0);
  });

  it('reads back what it wrote and lists it', async () => {
    const {store, metrics} = openStore(api.url);
    const key = 'config/a b/ü?#%';
    const made = (await store.create(key, '{"n":1}', 'config')).unsafeCoerce();
    const {version} = (
      await store.update(key, '{"n":2}', made.version, 'config')
    ).unsafeCoerce();
    expect(version).toBeGreaterThan(made.version);
    expect((await store.get(key, 'config')).unsafeCoerce().extract()).toEqual({
      key,
      version,
      value: '{"n":2}',
    });
    const listed = await store.list('config/a b', 'config');
    expect(listed.unsafeCoerce()).toEqual([key]);
    expect((await store.remove(key, version, 'config')).isRight()).toBe(true);
    const gone = (await store.get(key, 'config')).unsafeCoerce();
    expect(gone.isNothing()).toBe(true);
    const labels = {purpose: 'config', call: 'create', outcome: 'ok'};
    expect(metrics.total(STORE_CALLS_METRIC, labels)).toBe(1);
  });

  it('reports each refusal and the stored version', async () => {
    const {store} = openStore(api.url);
    const made = (await store.create('r', '1', 'status')).unsafeCoerce();
    const refusals = await Promise.all([
      store.create('r', '2', 'status'),
      store.update('r', '2', made.version + 7, 'status'),
      store.update('none', '2', 3, 'status'),
      store.create('big', 'x'.repeat(1_000_001), 'status'),
    ]);
    expect(refusals.map(it => it.swap().map(failure).extract())).toEqual([
      `conflict none ${made.version}`,
      `conflict none ${made.version}`,
      'conflict none 0',
      'too-large none 0',
    ]);
  });

  it('ends a watch when the watched object changes', async () => {
    const {store} = openStore(api.url);
    const {version} = (await store.create('w', '1', 'config')).unsafeCoerce();
    const watched = store.watch('w', version, 4_000, 'config');
    await store.update('w', '2', version, 'config');
    const object = (await watched).unsafeCoerce().extract();
    expect(object?.value).toBe('2');
  });

  // The connection breaks after the store took the write. Reported as "no
  // effect", the caller would repeat or abandon a write that took effect.
  it('reports effect unknown when the answer to a write is lost', async () => {
    const {store} = openStore(api.url);
    await postJson(`${api.url}/faults`, {loseEvery: 1});
    const lost = await store.create('lost', '1', 'claim');
    expect(lost.swap().map(failure).extract()).toBe('unavailable unknown 0');
    const found = (await store.get('lost', 'claim')).unsafeCoerce();
    expect(found.isJust()).toBe(true);
  });

  it('reports an outage as unavailable', async () => {
    const {store} = openStore(api.url);
    await postJson(`${api.url}/faults`, {outage: true});
    const read = await store.get('x', 'config');
    expect(read.swap().map(failure).extract()).toBe('unavailable none 0');
  });
});

describe('object store that cannot be reached', () => {
  it('has no effect when the connection is refused', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    const {port} = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const {store} = openStore(`http://127.0.0.1:${port}`);
    const made = await store.create('k', '1', 'claim');
    expect(made.swap().map(failure).extract()).toBe('unavailable none 0');
  });

  // A connection accepts bytes but never answers. Without a time limit the call
  // would wait forever, and the next call would use the same dead connection.
  it('gives up on a silent connection and dials a new one', async () => {
    const calls: string[] = [];
    let dialled = 0;
    const server = createServer(socket => {
      const connection = ++dialled;
      socket.on('error', () => undefined);
      socket.on('data', data => {
        calls.push(`${String(data).slice(0, 3)} on ${connection}`);
      });
    });
    server.listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    closers.push(() => new Promise(resolve => server.close(resolve)));
    const {port} = server.address() as AddressInfo;
    const {store} = openStore(`http://127.0.0.1:${port}`, 500);
    const written = await store.update('k', '1', 1, 'lease');
    const read = await store.get('k', 'lease');
    expect(written.swap().map(failure).extract()).toBe('unavailable unknown 0');
    expect(read.swap().map(failure).extract()).toBe('unavailable none 0');
    expect(calls).toEqual(['PUT on 1', 'GET on 2']);
  });
});

describe('host list over HTTP', () => {
  it('lists live and leaving hosts, and the old list while it is frozen', async () => {
    const program = await startProgram('standins/host_list.ts');
    closers.push(() => program.end());
    const client = createHttpHostList(program.url, {clock});
    closers.push(() => client.close());
    const host = {address: '127.0.0.1:1', failureDomain: 'kg-a', pool: 'p'};
    const put = (name: string) =>
      fetch(`${program.url}/v1/hosts/${name}`, {
        method: 'PUT',
        body: JSON.stringify(host),
      });
    const listed = async () =>
      (await client.list()).map(hosts => hosts.map(it => it.host + it.state));
    await put('h1');
    await postJson(`${program.url}/v1/hosts/h1/leaving`, {});
    expect((await listed()).extract()).toEqual(['h1leaving']);
    await postJson(`${program.url}/faults`, {frozen: true});
    await put('h2');
    expect((await listed()).extract()).toEqual(['h1leaving']);
    await postJson(`${program.url}/faults`, {frozen: false});
    expect((await listed()).extract()).toEqual(['h1leaving', 'h2live']);
    await postJson(`${program.url}/faults`, {outage: true});
    expect(
      (await listed())
        .swap()
        .map(err => err.step)
        .extract(),
    ).toBe('host-list');
  });
});

describe('unchanged host list', () => {
  it('is not sent again and gives the identical array', async () => {
    const program = await startProgram('standins/host_list.ts');
    closers.push(() => program.end());
    const sent: number[] = [];
    const between = createHttpServer(async (req, res) => {
      const tag = req.headers['if-none-match'];
      const got = await fetch(`${program.url}${req.url}`, {
        headers: tag === undefined ? {} : {'if-none-match': tag},
      });
      const body = await got.text();
      sent.push(got.status);
      res.writeHead(got.status, {etag: got.headers.get('etag') ?? ''});
      res.end(body);
    });
    await new Promise<void>(resolve => between.listen(0, '127.0.0.1', resolve));
    closers.push(() => new Promise(resolve => between.close(resolve)));
    const {port} = between.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    const client = createHttpHostList(url, {clock, timeoutMs: 10_000});
    closers.push(() => client.close());
    const list = async () => (await client.list()).unsafeCoerce();
    const first = await list();
    expect(await list()).toBe(first);
    await fetch(`${program.url}/v1/hosts/h1`, {
      method: 'PUT',
      body: JSON.stringify({address: 'a', failureDomain: 'f', pool: 'p'}),
    });
    expect((await list()).map(({host}) => host)).toEqual(['h1']);
    expect(sent).toEqual([200, 304, 200]);
  });

  it('gives the identical array when the service sends no ETag', async () => {
    const body = JSON.stringify({version: 1, hosts: []});
    const server = createHttpServer((_, res) => void res.end(body));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    closers.push(() => new Promise(resolve => server.close(resolve)));
    const {port} = server.address() as AddressInfo;
    const client = createHttpHostList(`http://127.0.0.1:${port}`, {clock});
    closers.push(() => client.close());
    const first = (await client.list()).unsafeCoerce();
    expect((await client.list()).unsafeCoerce()).toBe(first);
  });
});

describe('weight store over HTTP', () => {
  it('reports its rate and its active and queued transfers', async () => {
    const args = ['--bytes-per-sec', '1000', '--max-active', '1'];
    const program = await startProgram('standins/weight_store.ts', args);
    closers.push(() => program.end());
    const client = createHttpWeightStore(program.url, {clock});
    closers.push(() => client.close());
    const transfer = {model: 'm', version: '1', bytes: 1e9};
    const url = `${program.url}/v1/transfers?wait=0`;
    await postJson(url, transfer);
    await postJson(url, transfer);
    expect((await client.status()).extract()).toEqual({
      bytesPerSec: 1000,
      activeTransfers: 1,
      queuedTransfers: 1,
    });
  });
});
