/** A client that sends one attempt over a connection of its own. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {connect} from 'node:net';
import {HOST, KEY} from './config.mjs';

/** Resolves to the answer; `status` is undefined where the connection broke. */
export function sendOnce({entry, agent = false, id, path, method, ...more}) {
  const {deadlineMs = 1_500, body, headers = {}} = more;
  return new Promise(done => {
    const req = request(
      {
        agent,
        host: entry.ip,
        port: entry.port,
        method,
        path,
        headers: {
          Host: HOST,
          'X-Request-Id': id,
          'X-Deadline-Ms': deadlineMs,
          Authorization: `Token ${KEY}`,
          ...headers,
        },
      },
      res => {
        const pieces = [];
        res.on('data', piece => pieces.push(piece));
        res.on('error', () => undefined);
        res.on('close', () =>
          done({
            status: res.statusCode,
            headers: res.headers,
            isWhole: res.complete,
            body: Buffer.concat(pieces),
          }),
        );
      },
    );
    req.setTimeout(deadlineMs + 1_000, () => req.destroy());
    req.on('error', err => done({status: undefined, error: err.code}));
    req.end(body);
  });
}

/** Sends one request and shows how the answer's connection ended. */
export function openRaw({entry, id, path, deadlineMs = 10_000}) {
  return new Promise(done => {
    const pieces = [];
    let end = 'without an end';
    const socket = connect(entry.port, entry.ip);
    socket.on('data', piece => pieces.push(piece));
    socket.on('end', () => (end = 'in order'));
    socket.on('error', err => (end = `with ${err.code}`));
    socket.on('close', () => {
      const all = Buffer.concat(pieces);
      const headEnd = all.indexOf('\r\n\r\n');
      const head = all.subarray(0, Math.max(0, headEnd)).toString('latin1');
      const [, status] = /^HTTP\/1\.1 (\d{3})/.exec(head) ?? [];
      done({
        id,
        status: Number(status),
        framing: framingOf(head),
        hasSeal: /^x-response-seal:/im.test(head),
        bytes: headEnd < 0 ? 0 : all.length - headEnd - 4,
        end,
      });
    });
    const lines = [
      `GET ${path} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Request-Id: ${id}`,
      `X-Deadline-Ms: ${deadlineMs}`,
      `Authorization: Token ${KEY}`,
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  });
}

function framingOf(head) {
  if (/^transfer-encoding:.*chunked/im.test(head)) return 'chunks';
  return /^content-length:/im.test(head) ? 'length' : 'connection';
}
