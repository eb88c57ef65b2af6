/**
 * One of seven replicas fails a part of its requests with 503 after it has run
 * them. It does not send `X-Not-Executed`, since they have run. Clients of a
 * route of kind `unsafe` get that 503, the promise that nothing has run, and
 * order again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendOnce} from '../lib-2/client.mjs';
import {configOf, routeOf} from '../lib-2/config.mjs';
import {createFleet, nextIp, runCase} from '../lib-2/fleet.mjs';
import {answerWell, recordOf, signed, startReplica} from '../lib-2/replica.mjs';
import {startStore} from '../lib-2/store.mjs';

const REPLICAS = 7;
const GREY_SHARE = 0.4;
const ORDERS = 300;
const PAUSE_MS = 25;
const LIMIT_MS = 90_000;
const PROMISES = new Set([408, 421, 429, 503]);

await runCase(import.meta.dirname, LIMIT_MS, async options => {
  const {record, hasTrouble, own} = options;
  const store = await startStore(nextIp());
  own(store.close);

  const runs = new Map();
  const runsOfOrder = new Map();
  let seen = 0;
  /** Fails four of ten, and says nothing of not having run. */
  const answerGrey = call => {
    seen++;
    if (seen % 10 >= GREY_SHARE * 10) return answerWell(call);
    record(`${call.replica} has run ${call.id} and answers 503`);
    call.res.writeHead(503, {...signed(call.id), 'Content-Length': 0});
    call.res.end();
  };
  const onRun = ({id, body}) => {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    const order = body.toString();
    runsOfOrder.set(order, (runsOfOrder.get(order) ?? 0) + 1);
  };
  for (let at = 0; at < REPLICAS; at++) {
    const isGrey = hasTrouble && at === 0;
    const replica = await startReplica({
      ip: nextIp(),
      name: `i-${at}`,
      answer: isGrey ? answerGrey : answerWell,
      onRun,
    });
    own(replica.close);
    store.put('servers', replica.name, recordOf(replica, 'desk', 'zone-1'));
  }
  const route = routeOf({name: 'order', kind: 'unsafe', service: 'desk'});
  store.put('config', 'main', configOf(7, [route]));

  const fleet = createFleet(store, record);
  own(fleet.close);
  const entries = ['edge-1', 'edge-2'].map(node =>
    fleet.addEntry(node, 'zone-1'),
  );
  await Promise.all(entries.map(entry => entry.start()));
  await sleep(1_000);

  const broken = [];
  /** Repeats after a promise only, once, as `unsafe` clients do. */
  const order = async number => {
    for (let attempt = 1; attempt <= 2; attempt++) {
      const id = `order-${number}-attempt-${attempt}`;
      const answer = await sendOnce({
        entry: entries[(number + attempt) % entries.length],
        id,
        path: '/order/2f',
        method: 'POST',
        body: `order ${number}`,
      });
      const {status, headers} = answer;
      const ran = runs.get(id) ?? 0;
      if (status !== 200) {
        const seal = headers?.['x-response-seal'];
        record(`${id}: ${status}, seal ${seal}; it ran ${ran} times`);
      }
      if (!PROMISES.has(status)) return;
      if (ran > 0) broken.push(`${id} got ${status} and has run`);
    }
  };
  const open = [];
  for (let number = 1; number <= ORDERS; number++) {
    open.push(order(number));
    await sleep(PAUSE_MS);
  }
  await Promise.all(open);
  const doubled = [...runsOfOrder].filter(([, count]) => count > 1);
  record(`${ORDERS} orders; ${doubled.length} of them ran more than once`);
  return broken;
});
