import {ChannelCredentials, Client, status} from '@grpc/grpc-js';
import type {ServiceError} from '@grpc/grpc-js';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {PeerHandlers} from '../src/types/transport.js';
import {CALL_CODECS} from '../src/wire/codec.js';
import {TLS_SERVER_NAME} from '../src/wire/credentials.js';
import type {TlsOptions} from '../src/wire/credentials.js';
import {createAuthority} from './support/certificates.js';
import type {Authority} from './support/certificates.js';
import {
  closeAfterTest,
  listen,
  newTransport,
} from './support/grpc_transports.js';

const TIMEOUT_MS = 10_000;
const REQ = {requestId: 'r', organisation: 'o'};

let authority: Authority;
let otherAuthority: Authority;

beforeAll(() => {
  authority = createAuthority();
  otherAuthority = createAuthority();
});

afterAll(() => {
  authority.remove();
  otherAuthority.remove();
});

function listenWith(tls: TlsOptions, onCall: () => void): Promise<string> {
  const handlers: PeerHandlers = {
    locate: async () => {
      onCall();
      return {state: 'none', dispatchId: '', nextSeq: 0, kind: 'call'};
    },
  };
  return listen(handlers, newTransport(undefined, tls));
}

/** Makes a call; returns its outcome and whether a handler received it. */
async function tryCall(server: TlsOptions, client?: TlsOptions) {
  let handled = false;
  const address = await listenWith(server, () => {
    handled = true;
  });
  const got = await newTransport(undefined, client).call(
    address,
    'locate',
    REQ,
    TIMEOUT_MS,
  );
  const outcome = got.caseOf({Left: err => err.code, Right: () => 'ok'});
  return {outcome, handled};
}

describe('mutual TLS between processes', () => {
  it('accepts a call between two hosts of the same authority', async () => {
    const server = authority.issue('127.0.0.1');
    const client = authority.issue('127.0.0.2');
    expect(await tryCall(server, client)).toEqual({
      outcome: 'ok',
      handled: true,
    });
  });

  it('refuses a caller that presents no certificate', async () => {
    const server = authority.issue('127.0.0.1');
    let handled = false;
    const address = await listenWith(server, () => {
      handled = true;
    });
    const {path, req, res} = CALL_CODECS.locate;
    const client = new Client(
      address,
      ChannelCredentials.createSsl(server.ca, null, null, {
        checkServerIdentity: () => undefined,
      }),
      {'grpc.ssl_target_name_override': TLS_SERVER_NAME},
    );
    closeAfterTest(async () => client.close());
    const err = await new Promise<ServiceError | null>(resolve => {
      client.makeUnaryRequest(path, req.encode, res.decode, REQ, resolve);
    });
    expect(err?.code).toBe(status.UNAVAILABLE);
    expect(handled).toBe(false);
  });

  it('refuses a caller without TLS', async () => {
    const server = authority.issue('127.0.0.1');
    const {outcome, handled} = await tryCall(server);
    expect(outcome).not.toBe('ok');
    expect(handled).toBe(false);
  });

  it('refuses a caller of another authority', async () => {
    const server = authority.issue('127.0.0.1');
    const client = {...otherAuthority.issue('127.0.0.2'), ca: server.ca};
    const {outcome, handled} = await tryCall(server, client);
    expect(outcome).not.toBe('ok');
    expect(handled).toBe(false);
  });

  // Another process impersonates a side with a stolen host's certificate. The
  // authority signed it, but it names another IP, so the entry sends nothing.
  it('refuses a server whose certificate names another IP', async () => {
    const server = authority.issue('127.0.0.9');
    const client = authority.issue('127.0.0.2');
    expect(await tryCall(server, client)).toEqual({
      outcome: 'peer-unreachable',
      handled: false,
    });
  });
});
