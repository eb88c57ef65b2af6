/**
 * Credentials of connections between the system's processes. Connections use
 * plain TCP, or mutual TLS with the operators' own certificate authority.
 *
 * Peers are addressed by IP. A server's certificate must therefore list the
 * dialled IP among its subject alternative names. This check is sufficient: the
 * authority signs for this system only, and a certificate stolen from one host
 * can't be used to impersonate another. A client must present a certificate of
 * the authority. The client's host is not checked, since any entry may call any
 * side.
 */
import type {Socket} from 'node:net';
import {checkServerIdentity} from 'node:tls';
import {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';
import type {Address} from '../types/ids.js';

/** Certificate, private key and certificate authority, in PEM format. */
export interface TlsOptions {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** The authority that both ends trust. */
  readonly ca: Buffer;
}

/**
 * Server name sent in the TLS handshake, where RFC 6066 does not allow an IP.
 * The certificate is checked for the dialled IP, not for this name.
 */
export const TLS_SERVER_NAME = 'onyxloft-peer';

/** Returns the IP of an address `ip:port`, without the brackets of IPv6. */
export function ipOf(address: Address): string {
  const host = address.slice(0, address.lastIndexOf(':'));
  return host.replace(/^\[|\]$/g, '');
}

function baseCredentials(
  peer: Address,
  tls: TlsOptions | undefined,
): ChannelCredentials {
  if (tls === undefined) return ChannelCredentials.createInsecure();
  return ChannelCredentials.createSsl(tls.ca, tls.key, tls.cert, {
    checkServerIdentity: (_name, cert) => checkServerIdentity(ipOf(peer), cert),
  });
}

type Connector = ReturnType<ChannelCredentials['_createSecureConnector']>;
type ConnectorArgs = Parameters<ChannelCredentials['_createSecureConnector']>;

/** Credentials that pass each TCP socket to `onSocket` before its use. */
class SocketReportingCredentials extends ChannelCredentials {
  constructor(
    private readonly base: ChannelCredentials,
    private readonly onSocket: (socket: Socket) => void,
  ) {
    super();
  }

  override _isSecure(): boolean {
    return this.base._isSecure();
  }

  override _equals(other: ChannelCredentials): boolean {
    return this === other;
  }

  override _createSecureConnector(...args: ConnectorArgs): Connector {
    const connector = this.base._createSecureConnector(...args);
    return {
      connect: socket => {
        this.onSocket(socket);
        return connector.connect(socket);
      },
      waitForReady: () => connector.waitForReady(),
      getCallCredentials: () => connector.getCallCredentials(),
      destroy: () => connector.destroy(),
    };
  }
}

/** Credentials to dial `peer`. `onSocket` receives each connection's socket. */
export function clientCredentials(
  peer: Address,
  tls: TlsOptions | undefined,
  onSocket: (socket: Socket) => void,
): ChannelCredentials {
  return new SocketReportingCredentials(baseCredentials(peer, tls), onSocket);
}

/** Credentials to listen with. With TLS, clients must present a certificate. */
export function serverCredentials(
  tls: TlsOptions | undefined,
): ServerCredentials {
  if (tls === undefined) return ServerCredentials.createInsecure();
  const pair = {private_key: tls.key, cert_chain: tls.cert};
  return ServerCredentials.createSsl(tls.ca, [pair], true);
}
