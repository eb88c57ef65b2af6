/**
 * How fast the callers' front takes in prompts of five megabytes, and how long
 * the event loop stands still meanwhile. Bodies come over a real connection
 * from another process; for comparison the same bodies are also taken whole
 * with `JSON.parse`.
 *
 *     npm run build && node dist/bench/body.js
 */
import {fork} from 'node:child_process';
import {request} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';
import {createBodyReader} from '../src/entry/front/http_body.js';
import type {BodyReader} from '../src/entry/front/http_body.js';
import {openHttpServer} from '../src/entry/front/http_server.js';
import {prefixHashes} from '../src/entry/admission/prefix_hashes.js';
import {createProcessClock} from '../src/utils/clock.js';
import {yieldToLoop} from '../src/utils/event_loop.js';

const MIB = 1024 * 1024;
const BODY_BYTES = 5 * MIB;
const BODIES = 24;
const WARM_UP_BODIES = 4;
/** A turn shorter than this had nothing to do. */
const IDLE_STEP_MS = 0.05;

/** What a prompt of each kind repeats. */
const TEXTS: Readonly<Record<string, string>> = {
  prose: 'Frost is likely in low ground before sunrise; cover young plants. ',
  lines: '"04:10", -2.5\t"hall\\north"\n',
  cjk: '霜は夜明け前に低地で降りる見込みです。',
};

interface Load {
  readonly url: string;
  readonly text: string;
  readonly bodies: number;
  readonly atOnce: number;
}

interface Figures {
  readonly mibPerSec: number;
  readonly steps: Steps;
}

interface Steps {
  readonly p99Ms: number;
  readonly longestMs: number;
}

function bodyOf(text: string): Buffer {
  const prompt = text.repeat(Math.ceil(BODY_BYTES / Buffer.byteLength(text)));
  return Buffer.from(JSON.stringify({prompt, max_tokens: 16}));
}

/** In the sending process. */
async function send(load: Load): Promise<void> {
  const body = bodyOf(load.text);
  let left = load.bodies;
  const sendOne = () =>
    new Promise<void>((resolve, reject) => {
      const headers = {'Content-Length': body.length};
      const req = request(load.url, {method: 'POST', headers}, res => {
        res.resume();
        res.on('end', resolve);
      });
      req.on('error', reject);
      req.end(body);
    });
  const sender = async () => {
    while (left > 0) {
      left -= 1;
      await sendOne();
    }
  };
  await Promise.all(Array.from({length: load.atOnce}, sender));
}

function sendFromAnotherProcess(load: Load): Promise<void> {
  const child = fork(fileURLToPath(import.meta.url), [JSON.stringify(load)]);
  return new Promise((resolve, reject) =>
    child.on('exit', code =>
      code === 0 ? resolve() : reject(new Error(`sender ended with ${code}`)),
    ),
  );
}

/** Notes the time between each two turns of the event loop. */
function watchSteps(): () => Steps {
  const steps: number[] = [];
  let last = performance.now();
  let stopped = false;
  const tick = () => {
    const now = performance.now();
    if (now - last > IDLE_STEP_MS) steps.push(now - last);
    last = now;
    if (!stopped) setImmediate(tick);
  };
  tick();
  return () => {
    stopped = true;
    steps.sort((a, b) => a - b);
    const p99Ms = steps[Math.floor(steps.length * 0.99)] ?? 0;
    return {p99Ms, longestMs: steps.at(-1) ?? 0};
  };
}

type Take = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

function inPieces(reader: BodyReader): Take {
  return async (req, res) => {
    const {prompt} = await reader.readCompletion(req, res);
    if (prompt !== undefined) prefixHashes(prompt, 'bench');
  };
}

/** What the front does not do. */
const whole: Take = async req => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const parsed = JSON.parse(Buffer.concat(chunks).toString()) as {
    readonly prompt: string;
  };
  Buffer.from(parsed.prompt);
};

async function measure(
  take: Take,
  text: string,
  atOnce: number,
): Promise<Figures> {
  let lastAt = 0;
  let firstAt: number | undefined;
  let stop = (): Steps => ({p99Ms: 0, longestMs: 0});
  const server = await openHttpServer({
    listen: '127.0.0.1:0',
    handler: (req, res) => {
      if (firstAt === undefined) {
        firstAt = performance.now();
        stop = watchSteps();
      }
      take(req, res).then(
        () => {
          lastAt = performance.now();
          res.end('{}');
        },
        () => res.destroy(),
      );
    },
  });
  const load = {url: `http://${server.address}`, text, atOnce};
  await sendFromAnotherProcess({...load, bodies: WARM_UP_BODIES});
  stop();
  firstAt = undefined;
  await sendFromAnotherProcess({...load, bodies: BODIES});
  const seconds = (lastAt - (firstAt ?? lastAt)) / 1000;
  const steps = stop();
  await server.close();
  return {mibPerSec: (BODIES * BODY_BYTES) / MIB / seconds, steps};
}

async function main(): Promise<void> {
  const limits = {maxBodyBytes: 64 * MIB, bodyTimeoutMs: 60_000};
  const reader = createBodyReader(limits, createProcessClock(), yieldToLoop);
  const takes: Readonly<Record<string, Take>> = {
    pieces: inPieces(reader),
    whole,
  };
  console.log('take    text   at once  MiB/s  p99 step ms  longest step ms');
  for (const [name, take] of Object.entries(takes)) {
    for (const [kind, text] of Object.entries(TEXTS)) {
      for (const atOnce of [1, 8]) {
        const {mibPerSec, steps} = await measure(take, text, atOnce);
        console.log(
          `${name.padEnd(8)}${kind.padEnd(7)}${String(atOnce).padEnd(9)}` +
            `${mibPerSec.toFixed(0).padEnd(7)}` +
            `${steps.p99Ms.toFixed(2).padEnd(13)}${steps.longestMs.toFixed(1)}`,
        );
      }
    }
  }
}

const [, , loadText] = process.argv;
if (loadText === undefined) await main();
else await send(JSON.parse(loadText) as Load);
