import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createRecordedMetrics} from '../../standins/recording_runtime.js';
import {createProcessClock} from '../../src/utils/clock.js';
import type {TlsOptions} from '../../src/wire/credentials.js';
import {createGrpcTransport} from '../../src/wire/grpc_transport.js';
import {createAuthority} from '../support/certificates.js';
import type {Authority} from '../support/certificates.js';
import {
  answerTo,
  openAnswer,
  promptOf,
  startTestFleet,
} from '../support/process_fleet.js';
import type {TestFleet} from '../support/process_fleet.js';

let fleet: TestFleet;
let authority: Authority;
let dir: string;

beforeAll(async () => {
  authority = createAuthority();
  dir = mkdtempSync(join(tmpdir(), 'onyxloft-tls-'));
  const {cert, key, ca} = authority.issue('127.0.0.1');
  const write = (name: string, pem: Buffer) => {
    const path = join(dir, name);
    writeFileSync(path, pem);
    return path;
  };
  fleet = await startTestFleet({
    engines: 1,
    services: 0,
    tls: {
      certFile: write('host.crt', cert),
      keyFile: write('host.key', key),
      caFile: write('ca.crt', ca),
    },
  });
});

afterAll(async () => {
  await fleet.close();
  authority.remove();
  rmSync(dir, {recursive: true});
});

/** Asks a side as a peer would; tells what came of it. */
async function askSide(tls: TlsOptions | undefined): Promise<string> {
  const transport = createGrpcTransport({
    clock: createProcessClock(),
    metrics: createRecordedMetrics(),
    tls,
  });
  const side = fleet.file.processes.find(({role}) => role === 'side');
  const req = {requestId: 'r', organisation: 'prairie-sky'};
  const res = await transport.call(side?.address ?? '', 'locate', req, 5_000);
  await transport.close();
  return res.caseOf({Left: err => err.code, Right: ({state}) => state});
}

describe('a fleet with TLS between its processes', () => {
  // The operators switch TLS on in the settings. Requests are served as
  // before; who dials a side without TLS, or with a certificate of another
  // authority, is not answered.
  it('serves requests and answers no stranger', async () => {
    const prompt = promptOf(1, 300);
    const answer = openAnswer(fleet.ask(prompt));
    await answer.ended;
    expect(answer.text()).toBe(answerTo(prompt, 50));

    expect(await askSide(authority.issue('127.0.0.1'))).toBe('none');
    expect(await askSide(undefined)).not.toBe('none');
    const stranger = createAuthority();
    const {cert, key} = stranger.issue('127.0.0.1');
    const {ca} = authority.issue('127.0.0.1');
    expect(await askSide({cert, key, ca})).not.toBe('none');
    stranger.remove();
  });
});
