/**
 * The plain service as a program, over HTTP.
 *
 * Any method and path is answered with an echo of method, path, body length
 * and digest; `?status=`, `?delayMs=` and `?bytes=` choose the answer. Runs are
 * counted by `x-onyxloft-run-id` and by `x-onyxloft-request-id`. Of its own:
 * `GET /-/report`, `GET /-/counts`, `GET` and `POST /-/faults`.
 *
 * `--capacity N`: calls at once, as told in the load report.
 */
import {createProcessClock} from '../src/utils/clock.js';
import {createPlainRoutes} from './plain_routes.js';
import {createPlainServiceCore} from './plain_service_core.js';
import {readArgs, serve} from './program.js';

const args = readArgs(['capacity']);
const capacity = args['capacity'];
const core = createPlainServiceCore({
  clock: createProcessClock(),
  capacity: capacity === undefined ? undefined : Number(capacity),
});

serve(args['listen'] ?? '127.0.0.1:0', createPlainRoutes(core));
