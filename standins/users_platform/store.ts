/**
 * A small stand-in for the users' metadata store: objects by kind and name with
 * one revision counter, lists in pages, watches, and faults on demand.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly createRev: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface StoreEvent {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly removed: boolean;
}

/** How the store answers: well, with 503, not at all, or by a reset. */
export type StoreMode = 'well' | 'busy' | 'silent' | 'away';

/** An answer that breaks off. */
export interface AnswerCut {
  /** Of its bytes, head and body, that are sent. */
  readonly share: number;
  /** The connection is reset, or else closed. */
  readonly isReset: boolean;
}

/** What the store held at one moment. */
export interface StoreCopy {
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly revision: number;
}

/**
 * Content that another program wrote. The store gives the bytes back as they
 * are, valid JSON or not.
 */
export class ForeignBytes {
  constructor(readonly text: string) {}
}

export interface StoreStandIn {
  readonly address: string;
  put(kind: string, name: string, spec: unknown): void;
  remove(kind: string, name: string): void;
  get(kind: string, name: string): unknown;
  /** Of all objects of a kind. */
  names(kind: string): readonly string[];
  setMode(mode: StoreMode): void;
  /** How late the next answers are, in milliseconds. @default 0 */
  setLateness(lateMs: () => number): void;
  /** Where the next answers break off, if they do. */
  setCut(cut: () => AnswerCut | undefined): void;
  /** Drops the history before now; watches from before get 410. */
  forgetHistory(): void;
  copy(): StoreCopy;
  /**
   * Comes back from a copy: what was written since is gone, revisions are given
   * out again, all connections break, and the era in the answers rises.
   */
  restore(copy: StoreCopy): void;
  /** Whether answers tell the era. @default true */
  tellEra(tells: boolean): void;
  /**
   * Whether a list comes in pages and goes on after a name. Otherwise each holds
   * all objects, whatever name it is to go on after. @default true
   */
  listInPages(inPages: boolean): void;
  /** Calls that arrived, whatever became of them. */
  calls(): number;
  close(): Promise<void>;
}

const PAGE = 2;

/** A list comes in pages of so many objects. */
export async function startStore(pageSize = PAGE): Promise<StoreStandIn> {
  let kinds = new Map<string, Map<string, StoredObject>>();
  let events: StoreEvent[] = [];
  let revision = 1;
  let forgottenTo = 0;
  let mode: StoreMode = 'well';
  let calls = 0;
  let era = 1;
  let tellsEra = true;
  let isPaged = true;
  let lateMs = () => 0;
  let cut: () => AnswerCut | undefined = () => undefined;
  const waiting = new Set<() => void>();

  const send = (res: ServerResponse, status: number, value: unknown): void => {
    const text = textOf(value);
    const found = cut();
    if (found === undefined) sendWhole(res, status, text);
    else sendCut(res, status, text, found);
  };
  const ofKind = (kind: string) => {
    const objects = kinds.get(kind) ?? new Map<string, StoredObject>();
    kinds.set(kind, objects);
    return objects;
  };
  const record = (kind: string, object: StoredObject, removed: boolean) => {
    events.push({kind, revision: object.metadata.revision, object, removed});
    for (const wake of [...waiting]) wake();
  };
  const put = (kind: string, name: string, spec: unknown): StoredObject => {
    const before = ofKind(kind).get(name);
    revision++;
    const object: StoredObject = {
      metadata: {
        name,
        revision,
        createRev: before?.metadata.createRev ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    ofKind(kind).set(name, object);
    record(kind, object, false);
    return object;
  };
  const remove = (kind: string, name: string): boolean => {
    const before = ofKind(kind).get(name);
    if (before === undefined) return false;
    ofKind(kind).delete(name);
    revision++;
    const metadata = {...before.metadata, revision};
    record(kind, {...before, metadata}, true);
    return true;
  };

  const list = (kind: string, after: string, res: ServerResponse): void => {
    const all = [...ofKind(kind).keys()].sort();
    const names = isPaged ? all.filter(name => name > after) : all;
    const page = isPaged ? names.slice(0, pageSize) : names;
    const items = page.map(name => ofKind(kind).get(name));
    const hasMore = page.length < names.length;
    send(res, 200, {items, hasMore, currentRev: revision});
  };
  const watch = (
    kind: string,
    from: number,
    waitMs: number,
    res: ServerResponse,
  ): void => {
    if (from < forgottenTo || from > revision) {
      send(res, 410, {error: 'history is gone'});
      return;
    }
    const found = () =>
      events.filter(event => event.kind === kind && event.revision > from);
    const answer = () => {
      clearTimeout(timer);
      waiting.delete(wake);
      const changes = found().map(({object, removed}) => ({object, removed}));
      send(res, 200, {events: changes, currentRev: revision});
    };
    const wake = () => {
      if (mode === 'well' && found().length > 0) answer();
    };
    const timer = setTimeout(answer, waitMs);
    res.on('close', () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    waiting.add(wake);
    wake();
  };

  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    calls++;
    if (tellsEra) res.setHeader('Store-Era', era);
    const body = await readText(req);
    const delayMs = lateMs();
    if (delayMs > 0) await sleep(delayMs);
    if (mode === 'silent') return;
    if (mode === 'busy') {
      send(res, 503, {error: 'busy'});
      return;
    }
    const url = new URL(req.url ?? '/', 'http://store');
    const [, , , kind = '', name] = url.pathname.split('/');
    const from = url.searchParams.get('watch');
    if (req.method === 'GET' && from !== null) {
      const waitMs = Number(url.searchParams.get('waitMs'));
      watch(kind, Number(from), waitMs, res);
    } else if (req.method === 'GET' && name !== undefined) {
      const object = ofKind(kind).get(decodeURIComponent(name));
      send(res, object === undefined ? 404 : 200, object ?? {});
    } else if (req.method === 'GET') {
      list(kind, url.searchParams.get('after') ?? '', res);
    } else if (req.method === 'POST') {
      const {metadata, spec} = JSON.parse(body) as StoredObject;
      const exists = ofKind(kind).has(metadata.name);
      if (exists) send(res, 409, ofKind(kind).get(metadata.name));
      else send(res, 200, put(kind, metadata.name, spec));
    } else if (req.method === 'PUT') {
      const {spec} = JSON.parse(body) as StoredObject;
      send(res, 200, put(kind, name, spec));
    } else {
      send(res, remove(kind, name) ? 200 : 404, {});
    }
  };

  const server = createServer((req, res) => void handle(req, res));
  server.on('connection', socket => {
    if (mode === 'away') socket.resetAndDestroy();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    put: (kind, name, spec) => void put(kind, name, spec),
    remove: (kind, name) => void remove(kind, name),
    get: (kind, name) => ofKind(kind).get(name)?.spec,
    names: kind => [...ofKind(kind).keys()],
    setMode: next => {
      mode = next;
      if (mode === 'away') server.closeAllConnections();
    },
    setLateness: next => {
      lateMs = next;
    },
    setCut: next => {
      cut = next;
    },
    forgetHistory: () => {
      events = [];
      forgottenTo = ++revision;
    },
    copy: () => ({kinds: cloneOf(kinds), revision}),
    restore: copy => {
      era++;
      kinds = cloneOf(copy.kinds);
      revision = copy.revision;
      forgottenTo = Math.min(forgottenTo, revision);
      events = events.filter(event => event.revision <= revision);
      waiting.clear();
      server.closeAllConnections();
    },
    tellEra: tells => {
      tellsEra = tells;
    },
    listInPages: inPages => {
      isPaged = inPages;
    },
    calls: () => calls,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function cloneOf(
  kinds: StoreCopy['kinds'],
): Map<string, Map<string, StoredObject>> {
  return new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]));
}

function sendWhole(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(text);
}

function sendCut(
  res: ServerResponse,
  status: number,
  text: string,
  {share, isReset}: AnswerCut,
): void {
  const {socket} = res;
  const era = res.getHeader('store-era');
  const head = [
    `HTTP/1.1 ${status} cut`,
    ...(era === undefined ? [] : [`store-era: ${String(era)}`]),
    `content-length: ${Buffer.byteLength(text)}`,
  ];
  const whole = Buffer.from([...head, '', text].join('\r\n'));
  socket?.write(whole.subarray(0, Math.floor(share * whole.length)), () => {
    if (isReset) socket.resetAndDestroy();
    else socket.end();
  });
}

function textOf(value: unknown): string {
  const foreign: string[] = [];
  const text = JSON.stringify(value, (_key, item: unknown) =>
    item instanceof ForeignBytes ? `foreign ${foreign.push(item.text)}` : item,
  );
  return foreign.reduce(
    (rest, bytes, at) => rest.replace(`"foreign ${at + 1}"`, () => bytes),
    text,
  );
}

async function readText(req: IncomingMessage): Promise<string> {
  const pieces: Buffer[] = [];
  for await (const piece of req) pieces.push(piece as Buffer);
  return Buffer.concat(pieces).toString('utf8');
}
