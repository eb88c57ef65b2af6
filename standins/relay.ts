/**
 * A TCP relay for tests: on request it goes on holding the connections that
 * are open but drops all their bytes, while new connections work. That is how
 * a middle box looks from both ends when it has lost track of a flow.
 *
 * `POST /faults {"silence": true}` silences the connections open now;
 * `{"refuse": true}` closes all and refuses new ones until `false`.
 */
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {parseArgs} from 'node:util';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
}

const {values} = parseArgs({
  options: {
    listen: {type: 'string'},
    target: {type: 'string'},
    control: {type: 'string'},
  },
});

function endpoint(text: string | undefined) {
  const [host, port] = (text ?? '').split(':');
  return {host: host ?? '', port: Number(port)};
}

const target = endpoint(values.target);
const pairs = new Set<Pair>();
let refuse = false;

const relay = createServer(near => {
  if (refuse) {
    near.destroy();
    return;
  }
  const far = connect(target.port, target.host);
  const pair: Pair = {near, far, silent: false};
  pairs.add(pair);
  pass(pair, near, far);
  pass(pair, far, near);
});

function pass(pair: Pair, from: Socket, to: Socket) {
  from.on('data', data => {
    if (pair.silent) return;
    if (to.write(data)) return;
    from.pause();
    to.once('drain', () => from.resume());
  });
  const end = () => {
    // A silent flow tells neither end that the other one closed.
    if (pair.silent) return;
    to.destroy();
    pairs.delete(pair);
  };
  from.on('close', end);
  from.on('error', end);
}

function applyFaults(faults: {silence?: boolean; refuse?: boolean}) {
  if (faults.silence === true) {
    for (const pair of pairs) pair.silent = true;
  }
  if (faults.refuse !== undefined) refuse = faults.refuse;
  if (refuse) {
    for (const {near, far} of pairs) {
      near.destroy();
      far.destroy();
    }
  }
}

const control = createHttpServer((req, res) => {
  let body = '';
  req.on('data', part => (body += String(part)));
  req.on('end', () => {
    if (req.method === 'POST') applyFaults(JSON.parse(body || '{}'));
    const silent = [...pairs].filter(pair => pair.silent).length;
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({open: pairs.size, silent, refuse}));
  });
});

const listenAt = endpoint(values.listen);
const controlAt = endpoint(values.control);
relay.listen(listenAt.port, listenAt.host, () => {
  control.listen(controlAt.port, controlAt.host, () => {
    process.stdout.write(`${JSON.stringify({listening: values.listen})}\n`);
  });
});
process.on('SIGTERM', () => process.exit(0));
