/**
 * Messages that come from peers, and the records of the store that peers write.
 * An error of the entry at one of them drops that one with a line. It does not
 * fail the service, which would end the requests of all callers.
 */
import {createGuard} from '../../utils/callback_guard.js';
import {createMessageReport} from '../boundary/contained_errors.js';
import type {ErrorSinks} from '../boundary/contained_errors.js';
import type {HeardVersion} from '../freshness/heard_version.js';
import type {DirectMessage} from '../messages.js';
import type {Serving} from '../serving.js';

export type PeerMessage = Extract<
  DirectMessage,
  {
    readonly kind:
      | 'version-heard'
      | 'peer-load'
      | 'crash-reports'
      | 'quarantine-records'
      | 'quarantine-released'
      | 'limit-reports'
      | 'share-report'
      | 'permit-ask'
      | 'permit-answer';
  }
>;

export interface PeerMessagesOptions {
  readonly sinks: ErrorSinks;
  readonly serving: Pick<
    Serving,
    'loadTracker' | 'crashes' | 'limits' | 'shares' | 'permits'
  >;
  readonly heardVersion: Pick<HeardVersion, 'heard'>;
}

export function createPeerMessages(
  options: PeerMessagesOptions,
): (message: PeerMessage) => void {
  const {sinks, serving, heardVersion} = options;

  /** One report of several that fails does not drop the others. */
  const forEach = <T>(
    kind: string,
    items: readonly T[],
    take: (item: T) => void,
  ): void => {
    const guard = createGuard(createMessageReport(sinks));
    items.forEach(item => guard(kind, take)(item));
  };
  const handle = (message: PeerMessage): void => {
    const {kind} = message;
    switch (kind) {
      case 'version-heard':
        return heardVersion.heard(message.version, message.from);
      case 'peer-load': {
        const {node, loads} = message;
        return serving.loadTracker.setPeerLoad(node, loads, message);
      }
      case 'crash-reports':
        return forEach(kind, message.reports, it =>
          serving.crashes.merge([it]),
        );
      case 'quarantine-records':
        return forEach(kind, message.reports, it =>
          serving.crashes.mergeRecords([it]),
        );
      case 'quarantine-released':
        return serving.crashes.release(message.digest);
      case 'limit-reports':
        return forEach(kind, message.reports, serving.limits.merge);
      case 'share-report':
        return serving.shares?.merge(message.report);
      case 'permit-ask':
        return serving.permits.handleAsk(message.from, message.ask);
      case 'permit-answer':
        return serving.permits.handleAnswer(message.answer);
    }
  };

  return message => {
    const report = createMessageReport(sinks, {entry: senderOf(message)});
    createGuard(report)(message.kind, handle)(message);
  };
}

function senderOf(message: PeerMessage): string | undefined {
  switch (message.kind) {
    case 'peer-load':
      return message.node;
    case 'version-heard':
    case 'permit-ask':
      return message.from;
    case 'share-report':
      return message.report.node;
    default:
      return undefined;
  }
}
