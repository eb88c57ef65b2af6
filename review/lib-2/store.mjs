/**
 * Stand-in of the platform's metadata store: objects by kind and name, one
 * revision counter, lists in pages, watches that return every change, and 20 s
 * of history. It is linearizable and answers at once.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const PAGE = 500;
const HISTORY_MS = 20_000;
const MAX_WAIT_MS = 30_000;

export async function startStore(ip) {
  const kinds = new Map();
  const events = [];
  let revision = 1;
  let forgottenTo = 0;
  const waiting = new Set();

  const ofKind = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const forgetOld = () => {
    const since = performance.now() - HISTORY_MS;
    while (events.length > 0 && events[0].at < since) {
      forgottenTo = events.shift().revision;
    }
  };
  const record = (kind, object, removed) => {
    events.push({
      kind,
      revision: object.metadata.revision,
      at: performance.now(),
      object,
      removed,
    });
    forgetOld();
    for (const wake of [...waiting]) wake();
  };
  const put = (kind, name, {spec, finalizers = [], status = null}) => {
    const before = ofKind(kind).get(name);
    const isSame =
      before !== undefined &&
      JSON.stringify([before.spec, before.metadata.finalizers]) ===
        JSON.stringify([spec, finalizers]);
    if (isSame) return before;
    revision++;
    const object = {
      metadata: {
        name,
        revision,
        createRev: before?.metadata.createRev ?? revision,
        finalizers,
        deleting: false,
      },
      spec,
      status: before?.status ?? status,
    };
    ofKind(kind).set(name, object);
    record(kind, object, false);
    return object;
  };
  const remove = (kind, name) => {
    const before = ofKind(kind).get(name);
    if (before === undefined) return false;
    ofKind(kind).delete(name);
    revision++;
    const metadata = {...before.metadata, revision};
    record(kind, {...before, metadata}, true);
    return true;
  };

  const send = (res, status, value) => {
    const text = JSON.stringify(value);
    res.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    res.end(text);
  };
  const list = (kind, after, res) => {
    const names = [...ofKind(kind).keys()].sort().filter(name => name > after);
    const items = names.slice(0, PAGE).map(name => ofKind(kind).get(name));
    send(res, 200, {
      items,
      hasMore: names.length > PAGE,
      currentRev: revision,
    });
  };
  const watch = (kind, from, waitMs, res) => {
    forgetOld();
    if (from < forgottenTo || from > revision) {
      send(res, 410, {error: 'this history is gone'});
      return;
    }
    const found = () =>
      events.filter(event => event.kind === kind && event.revision > from);
    const stop = () => {
      clearTimeout(timer);
      waiting.delete(wake);
    };
    const answer = () => {
      stop();
      const changes = found().map(({object, removed}) => ({object, removed}));
      send(res, 200, {events: changes, currentRev: revision});
    };
    const wake = () => {
      if (found().length > 0) answer();
    };
    const timer = setTimeout(answer, Math.min(waitMs, MAX_WAIT_MS));
    res.on('close', stop);
    waiting.add(wake);
    wake();
  };
  const isStale = (object, stated) =>
    stated !== undefined && Number(stated) !== object.metadata.revision;
  const handle = (req, res, body) => {
    const url = new URL(req.url, 'http://store');
    const [, , , kind = '', name, part] = url.pathname
      .split('/')
      .map(decodeURIComponent);
    const query = url.searchParams;
    const sent = body === '' ? {} : JSON.parse(body);
    if (req.method === 'GET' && name === undefined) {
      if (query.has('watch')) {
        const waitMs = Number(query.get('waitMs') ?? 0);
        watch(kind, Number(query.get('watch')), waitMs, res);
      } else list(kind, query.get('after') ?? '', res);
      return;
    }
    if (req.method === 'POST') {
      const given = sent.metadata.name;
      const known = ofKind(kind).get(given);
      if (known !== undefined) send(res, 409, known);
      else send(res, 201, put(kind, given, sent));
      return;
    }
    const known = ofKind(kind).get(name);
    if (known === undefined) {
      send(res, 404, {error: 'there is none'});
      return;
    }
    const stated = sent.metadata?.revision ?? query.get('revision');
    if (req.method !== 'GET' && isStale(known, stated ?? undefined)) {
      send(res, 409, known);
    } else if (req.method === 'GET') send(res, 200, known);
    else if (req.method === 'DELETE') {
      remove(kind, name);
      send(res, 200, known);
    } else if (part === 'status') {
      known.status = sent.status;
      send(res, 200, known);
    } else {
      const finalizers = sent.metadata?.finalizers ?? [];
      send(res, 200, put(kind, name, {spec: sent.spec, finalizers}));
    }
  };

  const server = createServer((req, res) => {
    const pieces = [];
    req.on('data', piece => pieces.push(piece));
    req.on('error', () => undefined);
    req.on('end', () => handle(req, res, Buffer.concat(pieces).toString()));
  });
  server.keepAliveTimeout = 30_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  return {
    address: `${ip}:${server.address().port}`,
    /** Writes an object; returns when the store has acknowledged it. */
    put: (kind, name, spec) => put(kind, name, {spec}),
    remove,
    names: kind => [...ofKind(kind).keys()],
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
