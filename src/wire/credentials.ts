/**
 * Credentials of connections between the system's processes: plain TCP, or
 * mutual TLS under the operators' own certificate authority.
 *
 * Peers are addressed by IP, so a server's certificate has to name the dialled
 * IP among its subject alternative names. That is enough: the authority signs
 * for this system only, and a certificate taken from one host can't be used to
 * pose as another. A client has to show a certificate of the authority; which
 * host it is does not matter, since any entry may call any side.
 */
import type {Socket} from 'node:net';
import {checkServerIdentity} from 'node:tls';
import {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';
import type {Address} from '../types/ids.js';

/** PEM texts. */
export interface TlsOptions {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** The authority that both ends trust. */
  readonly ca: Buffer;
}

/**
 * Name sent in the handshake, where an IP is not allowed (RFC 6066). It is not
 * what the certificate is checked for.
 */
export const TLS_SERVER_NAME = 'onyxloft-peer';

/** The IP of an address `ip:port`; of IPv6 without its brackets. */
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

/** Credentials that show each TCP socket of theirs before it is used. */
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

/** Credentials to dial `peer`; `onSocket` gets each connection's socket. */
export function clientCredentials(
  peer: Address,
  tls: TlsOptions | undefined,
  onSocket: (socket: Socket) => void,
): ChannelCredentials {
  return new SocketReportingCredentials(baseCredentials(peer, tls), onSocket);
}

/** Credentials to listen with; under TLS the caller must show a certificate. */
export function serverCredentials(
  tls: TlsOptions | undefined,
): ServerCredentials {
  if (tls === undefined) return ServerCredentials.createInsecure();
  const pair = {private_key: tls.key, cert_chain: tls.cert};
  return ServerCredentials.createSsl(tls.ca, [pair], true);
}
