/**
 * Replicas leave without a notice while another program keeps writing an entry
 * that cannot be read. Requests must not go to replicas whose entry is gone.
 */
import {dirname} from 'node:path';
import {setInterval, setTimeout, clearInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {
  UnreadableBytes,
  configOf,
  loopback,
  runCase,
  sendRequest,
  serverEntry,
  sleep,
  startEntries,
  startReplica,
  startStore,
} from '../lib/platform.mjs';

const ENTRIES = 3;
const REPLICAS = 24;
/** `drainMs` of kassavo-be-grown. */
const DRAIN_MS = 3_000;
/** A replica serves for drainMs and a little longer, then it exits. */
const EXIT_AFTER_MS = DRAIN_MS + 5_000;
/** Three replicas of 24 (share 0.125) leave together, `ROUNDS` times. */
const LEAVING = 3;
const LEAVE_GAP_MS = 100;
const ROUNDS = 3;
const ROUND_MS = 9_000;
/** The other program writes as often as replicas do (`heartbeatMs`). */
const FOREIGN_WRITE_MS = 1_200;
const REQUEST_INTERVAL_MS = 25;
const WORK_MS = 100;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {dir, record, hasTrouble} = context;
  const store = await startStore(loopback(1));
  const replicas = [];
  const cut = new Set();
  for (let at = 0; at < REPLICAS; at++) {
    const running = new Set();
    const work = ({requestId, id}, res, headers) => {
      record(`ran ${requestId} at ${id}`);
      running.add(requestId);
      const body = `answer to ${requestId}`;
      setTimeout(() => {
        if (!running.delete(requestId)) return;
        res.writeHead(200, {...headers, 'Content-Length': body.length});
        res.end(body);
      }, WORK_MS);
    };
    const replica = await startReplica(loopback(10 + at), `i-app-${at}`, work);
    replicas.push({...replica, running});
    store.put('servers', replica.id, serverEntry(replica, 'ledger-app', 6));
  }
  const route = {
    name: 'plan-booking',
    pathPrefix: '/book/',
    kind: 'unsafe',
    timeoutMs: 800,
    sloMs: 145,
    priority: 2,
    service: 'ledger-app',
    maxAttempts: 2,
  };
  store.put('config', 'main', configOf([route], ['ledger-app']));

  let writes = 0;
  const writeForeign = () => {
    const address = `"address":"${loopback(200)}:8080"`;
    const text = `{"service":"ledger-app",${address},"sequence":${++writes},zz}`;
    store.put('servers', 'i-foreign', new UnreadableBytes(text));
    record('another program wrote servers/i-foreign, unreadable');
  };
  if (hasTrouble) writeForeign();
  const entries = await startEntries(ENTRIES, {store, dir, firstHost: 30});
  if (hasTrouble) setInterval(writeForeign, FOREIGN_WRITE_MS);

  let requests = 0;
  const answers = [];
  const sendOne = async () => {
    const at = requests++;
    const id = at.toString(16).padStart(16, '0');
    const entry = entries[at % ENTRIES];
    record(`sent ${id} to ${entry.node}`);
    const request = {id, path: '/book/2f', deadlineMs: 800, key: 'key-1'};
    const answer = await sendRequest(entry, request);
    record(`answered ${id}: ${answer.status ?? answer.error}`);
    answers.push({id, ...answer});
  };
  const open = new Set();
  const traffic = setInterval(() => {
    const sending = sendOne().finally(() => open.delete(sending));
    open.add(sending);
  }, REQUEST_INTERVAL_MS);

  const leave = async replica => {
    store.remove('servers', replica.id);
    replica.removedAt = Date.now();
    record(`entry of ${replica.id} removed`);
    await sleep(EXIT_AFTER_MS);
    for (const id of replica.running) cut.add(id);
    record(`${replica.id} exits, ${replica.running.size} requests run there`);
    replica.running.clear();
    replica.close();
  };
  await sleep(ROUND_MS);
  for (let round = 0; round < ROUNDS; round++) {
    const leaving = replicas.slice(round * LEAVING, (round + 1) * LEAVING);
    const exits = leaving.map(async (replica, at) => {
      await sleep(at * LEAVE_GAP_MS);
      await leave(replica);
    });
    await Promise.all([...exits, sleep(ROUND_MS)]);
  }
  await sleep(EXIT_AFTER_MS);
  clearInterval(traffic);
  await Promise.all(open);

  const late = replicas.flatMap(({arrivals, removedAt = Infinity}) =>
    arrivals
      .map(({requestId, id, at}) => ({requestId, id, afterMs: at - removedAt}))
      .filter(({afterMs}) => afterMs > DRAIN_MS),
  );
  for (const {requestId, id, afterMs} of late) {
    record(`LATE ${requestId} reached ${id} ${afterMs} ms after its removal`);
  }
  const failed = answers.filter(({status}) => status !== 200);
  const lost = failed.filter(({id}) => cut.has(id));
  return {
    isBroken: late.length > 0,
    summary:
      `${requests} requests, ${ROUNDS * LEAVING} replicas left, ` +
      `${late.length} requests reached one later than drainMs after its ` +
      `removal, ${failed.length} not answered with 200, ` +
      `${lost.length} of them cut off at the replica's exit`,
  };
});
