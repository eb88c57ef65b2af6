/**
 * The model engine as a program, over HTTP.
 *
 * `POST /v1/runs/ID` starts a run: header `x-run` is its `EngineRunReq` as
 * JSON, the body its prompt; the answer is one line of JSON for each event,
 * with a `beat` line each 500 ms. `GET /v1/runs/ID?from=N` takes it up from
 * token N, `DELETE` ends it, `PATCH {priority}` changes its urgency,
 * `GET /v1/runs` lists all. `GET /v1/report`, `GET /v1/cache/events?after=N`,
 * `POST /v1/orders`, `POST /v1/kv/export {hashes}`, `POST /v1/kv/import`.
 * `GET /counts` tells how often each run began; `GET` and `POST /faults`.
 *
 * `--models ID@VERSION[+ADAPTER…],…`, `--memory-tokens N`,
 * `--honours-fence true|false`, `--weight-store URL`, `--weight-bytes N`,
 * `--speed F`: engine time runs F times as fast, beats and lags do not.
 */
import {request} from 'undici';
import type {Clock} from '../src/types/runtime.js';
import {createProcessClock} from '../src/utils/clock.js';
import {ENGINE_FIGURES} from './engine_figures.js';
import type {EngineFigures} from './engine_figures.js';
import {createEngineModel} from './engine_model.js';
import {createEngineRoutes} from './engine_routes.js';
import type {LoadWeights, ServedModel} from './engine_serving.js';
import {readArgs, serve} from './program.js';

const DEFAULT_WEIGHT_BYTES = 4e9;

/** Reads `ID@VERSION+ADAPTER+ADAPTER,…`. */
function readModels(text: string): readonly ServedModel[] {
  return text.split(',').map(part => {
    const [name, ...adapters] = part.split('+');
    const [model, version] = name.split('@');
    return {model, version: version ?? '1', adapters};
  });
}

/** A clock whose time runs `speed` times as fast. */
function speedUp(clock: Clock, speed: number): Clock {
  return {
    now: () => clock.now() * speed,
    after: (delayMs, fn) => clock.after(delayMs / speed, fn),
    every: (periodMs, fn) => clock.every(periodMs / speed, fn),
  };
}

/** Fetches weights from the weight store, at the rate that it allows. */
function loadFrom(storeUrl: string, bytes: number): LoadWeights {
  return (model, version, done) => {
    request(`${storeUrl}/v1/transfers`, {
      method: 'POST',
      body: JSON.stringify({model, version, bytes}),
      headersTimeout: 0,
    })
      .then(async ({statusCode, body}) => {
        await body.dump();
        done(statusCode === 200);
      })
      .catch(() => done(false));
  };
}

const args = readArgs([
  'models',
  'memory-tokens',
  'honours-fence',
  'weight-store',
  'weight-bytes',
  'speed',
]);
const speed = Number(args['speed'] ?? 1);
const clock = createProcessClock();

// What is not the engine's work keeps its length on the process's clock.
const figures: Partial<EngineFigures> = {
  memoryTokens: Number(args['memory-tokens'] ?? ENGINE_FIGURES.memoryTokens),
  keepFinishedMs: ENGINE_FIGURES.keepFinishedMs * speed,
  reportLagMs: ENGINE_FIGURES.reportLagMs * speed,
  cacheEventDelayMs: ENGINE_FIGURES.cacheEventDelayMs * speed,
};

const weightStore = args['weight-store'];
const weightBytes = Number(args['weight-bytes'] ?? DEFAULT_WEIGHT_BYTES);

const model = createEngineModel({
  clock: speedUp(clock, speed),
  figures,
  models: readModels(args['models'] ?? 'm@1'),
  honoursFence: args['honours-fence'] !== 'false',
  loadWeights:
    weightStore === undefined ? undefined : loadFrom(weightStore, weightBytes),
});

const routes = createEngineRoutes({model, clock, speed});
serve(args['listen'] ?? '127.0.0.1:0', routes);
