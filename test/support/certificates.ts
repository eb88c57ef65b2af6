/** Certificates of a throw-away authority, made with openssl. */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TlsOptions} from '../../src/wire/credentials.js';

export interface Authority {
  /** Issues a certificate that names the IP. */
  issue(ip: string): TlsOptions;
  remove(): void;
}

const NEW_KEY = ['-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256'];

export function createAuthority(): Authority {
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-ca-'));
  const path = (name: string): string => join(dir, name);
  const openssl = (...args: readonly string[]): void => {
    execFileSync('openssl', args, {cwd: dir, stdio: 'pipe'});
  };
  openssl(
    ...['req', '-x509', '-nodes', '-days', '2', '-subj', '/CN=authority'],
    ...[...NEW_KEY, '-keyout', 'ca.key', '-out', 'ca.crt'],
  );
  let issued = 0;
  const issue = (ip: string): TlsOptions => {
    const name = `host${issued++}`;
    openssl(
      ...['req', '-nodes', '-subj', `/CN=${name}`, ...NEW_KEY],
      ...['-keyout', `${name}.key`, '-out', `${name}.csr`],
    );
    writeFileSync(path(`${name}.ext`), `subjectAltName=IP:${ip}\n`);
    openssl(
      ...['x509', '-req', '-days', '2', '-in', `${name}.csr`],
      ...['-CA', 'ca.crt', '-CAkey', 'ca.key', '-CAcreateserial'],
      ...['-extfile', `${name}.ext`, '-out', `${name}.crt`],
    );
    return {
      cert: readFileSync(path(`${name}.crt`)),
      key: readFileSync(path(`${name}.key`)),
      ca: readFileSync(path('ca.crt')),
    };
  };
  return {issue, remove: () => rmSync(dir, {recursive: true})};
}
