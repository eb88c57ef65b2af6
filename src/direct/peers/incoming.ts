/**
 * Takes the datagrams that arrive. An error of the entry at one of them drops
 * that one only, as if it had been lost: peers repeat what they send.
 */
import type {Metrics} from '../../types/runtime.js';
import {createMessageReport} from '../boundary/contained_errors.js';
import type {ErrorSinks} from '../boundary/contained_errors.js';
import {decodeDatagram} from '../datagrams.js';
import type {Datagram} from '../datagrams.js';
import {isAddress} from './compact_load.js';
import type {DatagramSource} from './datagram_socket.js';

export interface IncomingOptions extends ErrorSinks {
  readonly metrics: Metrics;
  handle(datagram: Datagram, source: DatagramSource): void;
}

export function createIncoming(
  options: IncomingOptions,
): (bytes: Buffer, source: DatagramSource) => void {
  return (bytes, source) => {
    let datagram: Datagram | undefined;
    try {
      datagram = decodeDatagram(bytes).extract();
      if (datagram !== undefined) options.handle(datagram, source);
      else options.metrics.count('onyxloft_sharing_unreadable_total');
    } catch (err) {
      const entry = datagram && senderOf(datagram);
      const report = createMessageReport(options, {entry});
      report(err, datagram?.kind ?? 'datagram');
    }
  };
}

/** Name of the sender, where the datagram states it. */
function senderOf(datagram: Datagram): string | undefined {
  switch (datagram.kind) {
    case 'load':
    case 'ask':
    case 'permit-ask':
      return datagram.from.node;
    case 'compact-load':
      return isAddress(datagram.from) ? datagram.from.node : undefined;
    case 'shares':
      return datagram.report.node;
    default:
      return undefined;
  }
}
