/**
 * The relay as a program. `POST /faults` takes what `RelayFaults` describes;
 * any call answers with the counts.
 */
import type {RelayFaults} from './relay_core.js';
import {startRelay} from './relay_core.js';
import {readArgs, readBody, sendJson, serve} from './program.js';

const MAX_FAULTS_BYTES = 4_096;

const args = readArgs(['target', 'control']);
const relay = await startRelay(args['listen'] ?? '', args['target'] ?? '');
serve(args['control'] ?? '', async (req, res) => {
  const body = await readBody(req, MAX_FAULTS_BYTES);
  if (req.method === 'POST') relay.apply(JSON.parse(body) as RelayFaults);
  sendJson(res, 200, relay.counts());
});
process.on('SIGTERM', () => process.exit(0));
