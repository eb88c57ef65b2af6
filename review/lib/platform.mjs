/**
 * Stand-ins for the parts of the users' platform that the review's scripts
 * need: the metadata store, replicas, and the settings and start of an entry.
 * They follow PROTOCOL.md and DEPLOY.md and have no faults of their own. All
 * addresses are loopback addresses.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, get, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const READY_TIMEOUT_MS = 15_000;
/** Longest time of a case, in milliseconds. */
const LIMIT_MS = 110_000;
/** A process that ends is started again after this delay, in milliseconds. */
export const RESTART_DELAY_MS = 500;

/** Processes that the script started and that have not ended. */
const children = new Set();
process.on('exit', () => children.forEach(child => child.kill('SIGKILL')));

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Loopback addresses that no other process with another id uses. */
export function loopback(host) {
  const {pid} = process;
  return `127.${100 + ((pid >> 8) & 127)}.${pid & 255}.${host}`;
}

/** A free TCP port of the address. */
export function freePort(ip) {
  return new Promise((done, fail) => {
    const server = createTcpServer();
    server.once('error', fail);
    server.listen(0, ip, () => {
      const {port} = server.address();
      server.close(() => done(port));
    });
  });
}

/** The platform's metadata store, which keeps all its history. */
export async function startStore(ip) {
  const kinds = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 1;

  const objectsOf = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const publish = (kind, object, removed) => {
    events.push({kind, revision, object, removed});
    for (const wake of [...waiting]) wake();
  };
  const put = (kind, name, spec) => {
    const known = objectsOf(kind).get(name);
    if (known && textOf(known.spec) === textOf(spec)) return known;
    revision++;
    const metadata = {
      name,
      revision,
      createRev: known?.metadata.createRev ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object = {metadata, spec, status: known?.status ?? null};
    objectsOf(kind).set(name, object);
    publish(kind, object, false);
    return object;
  };
  const remove = (kind, name) => {
    const known = objectsOf(kind).get(name);
    if (known === undefined) return false;
    objectsOf(kind).delete(name);
    revision++;
    publish(kind, known, true);
    return true;
  };
  const watch = (kind, from, waitMs, res) => {
    const found = () =>
      events.filter(e => e.kind === kind && e.revision > from);
    const answer = () => {
      clearTimeout(timer);
      waiting.delete(wake);
      const changes = found().map(({object, removed}) => ({object, removed}));
      sendJson(res, 200, {events: changes, currentRev: revision});
    };
    const wake = () => found().length > 0 && answer();
    const timer = setTimeout(answer, waitMs);
    res.on('close', () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    waiting.add(wake);
    wake();
  };
  const handle = (req, body, res) => {
    const url = new URL(req.url, 'http://store');
    const [, , , kind, name] = url.pathname.split('/');
    const objects = objectsOf(kind);
    const from = url.searchParams.get('watch');
    if (req.method === 'GET' && name) {
      const known = objects.get(name);
      return sendJson(res, known ? 200 : 404, known ?? {});
    }
    if (req.method === 'GET' && from !== null) {
      const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
      return watch(kind, Number(from), waitMs, res);
    }
    if (req.method === 'GET') {
      const items = [...objects.values()];
      return sendJson(res, 200, {items, hasMore: false, currentRev: revision});
    }
    if (req.method === 'DELETE') {
      return sendJson(res, remove(kind, name) ? 200 : 404, {});
    }
    const {metadata, spec} = JSON.parse(body);
    const target = name ?? metadata.name;
    const known = objects.get(target);
    const exists = known !== undefined;
    if (req.method === 'POST' && exists) return sendJson(res, 409, known);
    if (req.method === 'PUT' && !exists) return sendJson(res, 404, {});
    return sendJson(res, 200, put(kind, target, spec));
  };
  const server = createServer((req, res) => {
    readBody(req).then(
      body => handle(req, body, res),
      () => res.destroy(),
    );
  });
  const address = await listen(server, ip);
  return {address, put, remove, close: () => closeServer(server)};
}

/**
 * A replica. `behave` answers a request that has been read in full; `arrivals`
 * lists what the replica began to run.
 */
export async function startReplica(ip, id, behave) {
  const arrivals = [];
  const server = createServer((req, res) => {
    const run = body => {
      if (req.url === '/api/report') {
        return sendJson(res, 200, {
          stage: 'colocated',
          models: [],
          busy: false,
          sequence: 0,
          waiting: 0,
          running: 0,
          kvUsed: 0,
          kvTotal: 232_000,
          handles: 0,
          tickets: [],
        });
      }
      const requestId = req.headers['x-request-id'];
      if (requestId === undefined) return void res.writeHead(400).end();
      const own = {'X-Request-Id': requestId};
      if (req.headers['x-expect-replica'] !== id) {
        return void res.writeHead(421, {...own, 'At-Server': id}).end();
      }
      const arrival = {requestId, path: req.url, body, at: Date.now(), id};
      arrivals.push(arrival);
      const seal = `seal-${requestId}`;
      return behave(arrival, res, {...own, 'X-Response-Seal': seal});
    };
    readBody(req).then(run, () => res.destroy());
  });
  const address = await listen(server, ip);
  return {id, address, arrivals, close: () => closeServer(server)};
}

/** Fills in the project's template of settings, as DEPLOY.md tells. */
export function renderTemplate(text, fields) {
  const find = (scopes, path) => {
    if (path === '.') return scopes[0];
    for (const scope of scopes) {
      const value = path.split('.').reduce((at, name) => at?.[name], scope);
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const render = (part, scopes) =>
    part
      .replace(
        /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
        (_all, path, inner) => {
          const value = find(scopes, path);
          if (value === undefined || value === false) return '';
          return render(inner, [value, ...scopes]);
        },
      )
      .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, asJson) => {
        const value = find(scopes, path);
        if (value === undefined) return '';
        return asJson ? JSON.stringify(value) : String(value);
      });
  return render(text, [fields]);
}

/** The `run` line of the role that serves callers, split at spaces. */
function commandOf(deployFile) {
  const [, command] = /^run = "([^"]+)"/m.exec(deployFile);
  return command.split(' ');
}

/** Bounds and machines of kassavo-be-grown. */
const BOUNDS = {
  drainMs: 3_000,
  graceS: 8,
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 130,
  budgetWindowS: 10,
  holdMaxMs: 20_000,
  freeMs: 4_000,
  idleMaxMs: 9_000,
};
const MACHINE = {memoryMb: 450, maxFds: 8_192};

/**
 * An entry, at an address of its own, with the command and the settings of the
 * deploy file. `start` starts its process; a later `start` is a restart.
 */
export async function createEntry({node, ip, store, dir}) {
  const ports = [];
  for (let at = 0; at < 3; at++) ports.push(await freePort(ip));
  const [front, ready, peers] = ports;
  const read = path => readFileSync(join(ROOT, path), 'utf8');
  const path = join(dir, `${node}.jsonc`);
  const fields = {
    node,
    zone: 'zone-1',
    ip,
    listen: {front: `${ip}:${front}`, ready: `${ip}:${ready}`},
    portRange: [peers, peers],
    platform: {address: store.address},
    limits: MACHINE,
    bounds: BOUNDS,
  };
  const [program, ...args] = commandOf(read('deploy/system.toml'));
  const {PATH, HOME} = process.env;
  const entry = {
    node,
    front: {host: ip, port: front},
    log: '',
    pid: undefined,
    /** Resolves when the process that was started last has ended. */
    ended: Promise.resolve(),
    start: (bootstrap = false) => {
      const template = read('deploy/settings.template.jsonc');
      writeFileSync(path, renderTemplate(template, {...fields, bootstrap}));
      const child = spawn(program, args, {
        cwd: ROOT,
        env: {PATH, HOME, ONYXLOFT_NODE_FILE: path},
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      children.add(child);
      entry.pid = child.pid;
      entry.signal = name => child.kill(name);
      entry.ended = new Promise(done =>
        child.once('exit', (code, signal) => {
          children.delete(child);
          done({code, signal});
        }),
      );
      child.stdout.on('data', chunk => (entry.log += chunk));
    },
    signal: () => false,
    isReady: () => isReady(ip, ready),
  };
  return entry;
}

/** Starts a fleet for the first time and waits until all of it is ready. */
export async function startEntries(count, {store, dir, firstHost}) {
  const entries = [];
  for (let at = 0; at < count; at++) {
    const ip = loopback(firstHost + at);
    entries.push(await createEntry({node: `edge-${at + 1}`, ip, store, dir}));
  }
  entries.forEach(entry => entry.start(true));
  await Promise.all(entries.map(untilReady));
  return entries;
}

/** Sends a request as a client; resolves when its connection or answer ends. */
export function sendRequest(entry, {id, path, deadlineMs, key, agent = false}) {
  const answer = {status: undefined, body: '', isComplete: false};
  return new Promise(done => {
    const body = 'a prompt';
    const req = request(
      {
        ...entry.front,
        agent,
        path,
        method: 'POST',
        headers: {
          Host: HOST,
          'X-Request-Id': id,
          'X-Deadline-Ms': String(deadlineMs),
          Authorization: `Token ${key}`,
          'Content-Length': body.length,
        },
      },
      res => {
        answer.status = res.statusCode;
        answer.seal = res.headers['x-response-seal'];
        answer.coding = res.headers['transfer-encoding'];
        answer.connection = res.headers.connection;
        res.setEncoding('utf8');
        res.on('data', text => (answer.body += text));
        res.on('error', err => (answer.error = err.code));
        res.on('close', () => {
          answer.isComplete = res.complete && answer.error === undefined;
          done(answer);
        });
      },
    );
    req.on('error', err => {
      answer.error ??= err.code;
      done(answer);
    });
    req.end(body);
  });
}

/** Name of the host in all requests. */
export const HOST = 'ledger.example';

/** A configuration with the routes, the services and one key. */
export function configOf(routes, services) {
  return {
    version: 1,
    routes: routes.map(route => ({host: HOST, ...route})),
    services: services.map(name => ({name})),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 10_000,
    },
    tenants: [{name: 'tenant-1', apiKeys: ['key-1']}],
  };
}

/** A replica's entry in the store. */
export function serverEntry(replica, service, slots) {
  return {
    service,
    address: replica.address,
    zone: 'zone-1',
    version: 1,
    slots,
    state: 'ready',
    coldLeftMs: 0,
    sequence: 1,
  };
}

/**
 * Runs a case in a temporary folder and writes its record. `run` resolves to
 * whether the rule was broken. Exits with 1 if it was, with 0 if it held and
 * with 2 if the case could not run.
 */
export async function runCase(folder, run) {
  const lines = [];
  const startedAt = Date.now();
  const record = text => {
    const at = String(Date.now() - startedAt).padStart(6);
    lines.push(`${at} ms  ${text}`);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-review-'));
  const finish = code => {
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    children.forEach(child => child.kill('SIGKILL'));
    rmSync(dir, {recursive: true, force: true});
    process.exit(code);
  };
  const cannotRun = cause => {
    record(`could not run: ${cause}`);
    process.stderr.write(`could not run: ${cause}\n`);
    finish(2);
  };
  setTimeout(() => cannotRun('no end in time'), LIMIT_MS).unref();
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => cannotRun(signal));
  }
  try {
    const result = await run({dir, record, hasTrouble});
    record(result.summary);
    process.stdout.write(`${result.summary}\n`);
    finish(result.isBroken ? 1 : 0);
  } catch (err) {
    cannotRun(err instanceof Error ? err.stack : String(err));
  }
}

export async function untilReady(entry) {
  const endsAt = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < endsAt) {
    if (await entry.isReady()) return;
    await sleep(50);
  }
  throw new Error('the entry did not become ready');
}

function isReady(host, port) {
  return new Promise(done => {
    const req = get({host, port, path: '/api/ready', agent: false}, res => {
      res.resume();
      done(res.statusCode === 200);
    });
    req.once('error', () => done(false));
  });
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Content of an object that is not valid JSON, as a writer left it. */
export class UnreadableBytes {
  constructor(text) {
    this.text = text;
  }
}

/** JSON text; unreadable bytes stand in it as they are. */
function textOf(value) {
  const raw = [];
  const text = JSON.stringify(value, (_name, part) => {
    if (!(part instanceof UnreadableBytes)) return part;
    raw.push(part.text);
    return `unreadable-${raw.length}`;
  });
  return raw.reduce(
    (all, bytes, at) => all.replace(`"unreadable-${at + 1}"`, bytes),
    text,
  );
}

function sendJson(res, status, value) {
  res.writeHead(status, {'Content-Type': 'application/json'});
  res.end(textOf(value));
}

function listen(server, ip) {
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(0, ip, () => done(`${ip}:${server.address().port}`));
  });
}

function closeServer(server) {
  server.close();
  server.closeAllConnections();
}
